package org.sassafrastrail.sidecar.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.fairness.BackloggedAccount;
import org.sassafrastrail.fairness.FairnessPolicy;
import org.sassafrastrail.messages.GrantOffer;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.TrafficShare;
import org.sassafrastrail.model.UpstreamProfile;
import org.sassafrastrail.rules.RuleSet;

/** Offers each free slot of the upstream to the account that is next in the scheduling order. */
final class GrantScheduler {

    private final SidecarIdentity identity;
    private final FairnessPolicy policy;
    private final AccountLedger accounts;
    private final SidecarTimings timings;

    GrantScheduler(SidecarIdentity identity, FairnessPolicy policy, AccountLedger accounts, SidecarTimings timings) {
        this.identity = identity;
        this.policy = policy;
        this.accounts = accounts;
        this.timings = timings;
    }

    /** Offers all free slots to routers with queued requests. */
    Transition<SidecarState, SidecarAction> offerFreeSlots(SidecarState state, Instant now) {
        Transition<SidecarState, SidecarAction> unchanged = Transition.to(state);
        if (!mayGrant(state)) {
            return unchanged;
        }
        int freeSlots = state.upstream().freeSlots(state.work().usedSlots());
        return unchanged.forEach(
                IntStream.range(0, Math.max(0, freeSlots)).boxed(), (next, slot) -> offerOne(next, now));
    }

    /** Returns whether this upstream is eligible for new work. */
    boolean mayGrant(SidecarState state) {
        RuleSet rules = state.rules();
        UpstreamProfile profile = identity.profile();
        return !state.lifecycle().stopping()
                && state.configuration().isUsable()
                && rules.isInService(profile.failureDomain())
                && !state.moveStatus()
                        .share(rules, profile.target(), profile.version())
                        .equals(TrafficShare.NONE);
    }

    private Transition<SidecarState, SidecarAction> offerOne(SidecarState state, Instant now) {
        Map<AccountName, RouterBacklog> oldest = oldestBacklogs(state);
        List<BackloggedAccount> candidates = oldest.entrySet().stream()
                .map(entry -> candidate(state, entry.getKey(), entry.getValue(), now))
                .toList();
        Optional<BackloggedAccount> choice = policy.select(candidates);
        return choice.map(candidate -> grant(state, candidate.account(), oldest.get(candidate.account()), now))
                .orElse(Transition.to(state));
    }

    private BackloggedAccount candidate(SidecarState state, AccountName account, RouterBacklog backlog, Instant now) {
        Duration wait = Duration.between(backlog.backlog().oldestArrivedAt(), now);
        return new BackloggedAccount(account, accounts.total(state, account), wait);
    }

    private Transition<SidecarState, SidecarAction> grant(
            SidecarState state, AccountName account, RouterBacklog backlog, Instant now) {
        GrantIdentifier identifier = new GrantIdentifier(
                identity.node(), identity.incarnation(), state.work().lastSequence() + 1);
        long charge = state.estimator().estimate(account, backlog.backlog().oldestHint());
        OutstandingGrant grant =
                new OutstandingGrant(backlog.router(), account, charge, now.plus(timings.grantValidity()));
        RouterDemand reduced = state.routers().get(backlog.router()).minusOne(account);
        SidecarState next = accounts.charge(state, account, charge)
                .with(state.routers().plus(backlog.router(), reduced))
                .with(state.work().granted(identifier, grant));
        return Transition.<SidecarState, SidecarAction>to(next)
                .then(new SidecarAction.SendMessage(
                        backlog.router(),
                        new GrantOffer(
                                identifier, account, timings.grantValidity().toMillis())));
    }

    /** Returns the backlog of each account at the router where its oldest queued request arrived first. */
    private static Map<AccountName, RouterBacklog> oldestBacklogs(SidecarState state) {
        return state.routers().entrySet().stream()
                .flatMap(router -> router.getValue().accounts().entrySet().stream()
                        .map(entry -> Map.entry(entry.getKey(), new RouterBacklog(router.getKey(), entry.getValue()))))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, RouterBacklog::older));
    }

    /** The backlog of one account at one router. */
    private record RouterBacklog(NodeName router, RouterDemand.Backlog backlog) {

        private static final Comparator<RouterBacklog> AGE = Comparator.<RouterBacklog, Instant>comparing(
                        entry -> entry.backlog().oldestArrivedAt())
                .thenComparing(RouterBacklog::router);

        static RouterBacklog older(RouterBacklog first, RouterBacklog second) {
            return AGE.compare(first, second) <= 0 ? first : second;
        }
    }
}
