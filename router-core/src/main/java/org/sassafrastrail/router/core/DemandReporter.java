package org.sassafrastrail.router.core;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.fairness.LedgerKey;
import org.sassafrastrail.messages.AccountDemand;
import org.sassafrastrail.messages.Demand;
import org.sassafrastrail.model.AccountName;

/**
 * Reports the number of queued requests to sidecars. A new request is reported immediately to a few sidecars,
 * preferably with a free slot, and to the others with the next tick if it is still queued.
 */
final class DemandReporter {

    /** Number of sidecars to which a new request is reported immediately. */
    private static final int IMMEDIATE_REPORTS = 2;

    private final Eligibility eligibility;

    DemandReporter(Eligibility eligibility) {
        this.eligibility = eligibility;
    }

    /** Reports a new request to a few sidecars. The request identifier determines which sidecars come first. */
    Transition<RouterState, RouterAction> reportToSome(RouterState state, RouterRequest request, Instant now) {
        int offset = Math.floorMod(
                request.identifier().hashCode(), Math.max(1, state.sidecars().size()));
        List<SidecarLink> ordered = state.sidecars().values().stream()
                .filter(link -> link.profile().target().equals(request.target()))
                .filter(link -> eligibility.rejectionReason(state, link).isEmpty())
                .sorted(Comparator.comparing(SidecarLink::node))
                .toList();
        Stream<SidecarLink> rotated =
                Stream.concat(ordered.stream().skip(offset), ordered.stream().limit(offset));
        Stream<SidecarLink> first = rotated.sorted(Comparator.comparing(link -> !link.hasFreeSlot()))
                .limit(IMMEDIATE_REPORTS);
        return Transition.<RouterState, RouterAction>to(state).forEach(first, (next, link) -> report(next, link, now));
    }

    /** Reports to each sidecar the demand that changed since the last report to it. */
    Transition<RouterState, RouterAction> reportToAll(RouterState state, Instant now) {
        return Transition.<RouterState, RouterAction>to(state)
                .forEach(state.sidecars().values().stream(), (next, link) -> report(next, link, now));
    }

    private Transition<RouterState, RouterAction> report(RouterState state, SidecarLink link, Instant now) {
        PMap<AccountName, AccountDemand> demand = demand(state, link, now);
        List<AccountDemand> changes = Stream.concat(
                        demand.values().stream()
                                .filter(account -> account.queuedRequests()
                                        != link.reportedDemand().getOrDefault(account.account(), 0)),
                        link.reportedDemand().keySet().stream()
                                .filter(account -> !demand.containsKey(account))
                                .map(account -> new AccountDemand(account, 0, 0, 0)))
                .sorted(Comparator.comparing(AccountDemand::account))
                .toList();
        if (changes.isEmpty()) {
            return Transition.to(state);
        }
        PMap<AccountName, Integer> reported = HashTreePMap.from(demand.values().stream()
                .collect(Collectors.toMap(AccountDemand::account, AccountDemand::queuedRequests)));
        return Transition.<RouterState, RouterAction>to(state.with(link.withReportedDemand(reported)))
                .then(new RouterAction.SendMessage(link.node(), new Demand(changes)));
    }

    private PMap<AccountName, AccountDemand> demand(RouterState state, SidecarLink link, Instant now) {
        if (eligibility.rejectionReason(state, link).isPresent()) {
            return HashTreePMap.empty();
        }
        long remaining = eligibility.remainingDispatches(state, link.profile());
        return HashTreePMap.from(state.queues().keys(link.profile().target()).stream()
                .map(key -> demand(state, link, key, remaining, now))
                .flatMap(Optional::stream)
                .collect(Collectors.toMap(AccountDemand::account, Function.identity())));
    }

    private static Optional<AccountDemand> demand(
            RouterState state, SidecarLink link, LedgerKey key, long remaining, Instant now) {
        return state.queues()
                .oldestEligible(key, link.node(), now)
                .map(oldest -> new AccountDemand(
                        key.account(),
                        (int) Math.min(remaining, state.queues().countEligible(key, link.node(), now)),
                        oldest.request().hint(),
                        oldest.request().age(now).toMillis()));
    }
}
