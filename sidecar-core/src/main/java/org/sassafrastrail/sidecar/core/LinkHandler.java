package org.sassafrastrail.sidecar.core;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.messages.AttemptQuery;
import org.sassafrastrail.messages.Demand;
import org.sassafrastrail.messages.EvidenceUpdate;
import org.sassafrastrail.messages.GrantReturn;
import org.sassafrastrail.messages.Heartbeat;
import org.sassafrastrail.messages.LedgerUpdate;
import org.sassafrastrail.messages.Message;
import org.sassafrastrail.messages.MoveUpdate;
import org.sassafrastrail.messages.RulesAnnouncement;
import org.sassafrastrail.messages.RulesRequest;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.rollout.MoveRegistry;
import org.sassafrastrail.rules.NodeConfiguration;
import org.sassafrastrail.rules.RuleDocument;
import org.sassafrastrail.rules.TargetRule;

/** Handles links to routers and the messages received over them. */
final class LinkHandler {

    private final SidecarIdentity identity;
    private final DispatchHandler dispatches;
    private final AccountLedger accounts;
    private final SidecarTimings timings;

    LinkHandler(SidecarIdentity identity, DispatchHandler dispatches, AccountLedger accounts, SidecarTimings timings) {
        this.identity = identity;
        this.dispatches = dispatches;
        this.accounts = accounts;
        this.timings = timings;
    }

    /** Sends a newly connected router a heartbeat and the full move status, evidence and ledger. */
    Transition<SidecarState, SidecarAction> connected(
            SidecarState state, SidecarEvent.RouterConnected event, Instant now) {
        SidecarState next = state.with(state.routers().plus(event.router(), RouterDemand.none(event.link())));
        Transition<SidecarState, SidecarAction> connected = send(
                next,
                event.router(),
                List.of(
                        TickHandler.heartbeat(state),
                        new MoveUpdate(
                                state.moveStatus().steps(), state.moveStatus().suspensions()),
                        new EvidenceUpdate(state.evidence().entries()),
                        new LedgerUpdate(state.ledger().entries())));
        return state.configuration().needsConfirmation() ? connected.and(LinkHandler::requestConfirmation) : connected;
    }

    Transition<SidecarState, SidecarAction> disconnected(
            SidecarState state, SidecarEvent.RouterDisconnected event, Instant now) {
        boolean current = Optional.ofNullable(state.routers().get(event.router()))
                .filter(demand -> demand.link() == event.link())
                .isPresent();
        return Transition.to(current ? state.with(state.routers().minus(event.router())) : state);
    }

    Transition<SidecarState, SidecarAction> messageReceived(
            SidecarState state, SidecarEvent.RouterMessageReceived event, Instant now) {
        Message message = event.message();
        if (message instanceof Demand demand) {
            return demandReceived(state, event.router(), demand, now);
        }
        if (message instanceof GrantReturn grant) {
            return dispatches.grantReturned(state, grant);
        }
        if (message instanceof AttemptQuery query) {
            return dispatches.attemptQueried(state, event.router(), query);
        }
        if (message instanceof LedgerUpdate update) {
            return Transition.to(state.with(state.ledger().merge(update.entries())));
        }
        if (message instanceof MoveUpdate update) {
            return moveUpdateReceived(state, update);
        }
        if (message instanceof Heartbeat heartbeat) {
            return heartbeatReceived(state, event.router(), heartbeat, now);
        }
        if (message instanceof RulesRequest) {
            return rulesRequested(state, event.router());
        }
        if (message instanceof RulesAnnouncement announcement) {
            return documentReceived(state, announcement.document());
        }
        return Transition.to(state);
    }

    private Transition<SidecarState, SidecarAction> demandReceived(
            SidecarState state, NodeName router, Demand demand, Instant now) {
        RouterDemand known = state.routers().get(router);
        if (known == null) {
            return Transition.to(state);
        }
        SidecarState next = state.with(state.routers().plus(router, known.plus(demand.accounts(), now)));
        return Transition.to(demand.accounts().stream()
                .filter(change -> change.queuedRequests() > 0)
                .filter(change -> !isBacklogged(state, change.account()))
                .filter(change -> change.oldestWaitMilliseconds()
                        < timings.continuousBacklogThreshold().toMillis())
                .reduce(next, (lifted, change) -> lift(lifted, change.account()), (first, second) -> second));
    }

    /** Lifts the virtual token counter of an account that was idle to the minimum of the other backlogged accounts. */
    private SidecarState lift(SidecarState state, AccountName account) {
        return state.routers().values().stream()
                .flatMap(demand -> demand.accounts().keySet().stream())
                .filter(other -> !other.equals(account))
                .map(other -> accounts.total(state, other))
                .min(Long::compare)
                .map(floor -> accounts.lift(state, account, floor))
                .orElse(state);
    }

    private static boolean isBacklogged(SidecarState state, AccountName account) {
        return state.routers().values().stream()
                .anyMatch(demand -> demand.accounts().containsKey(account));
    }

    private static Transition<SidecarState, SidecarAction> moveUpdateReceived(SidecarState state, MoveUpdate update) {
        MoveRegistry merged = state.moveStatus().merge(update.progress(), update.suspensions());
        Transition<SidecarState, SidecarAction> stay = Transition.to(state);
        MoveUpdate all = new MoveUpdate(merged.steps(), merged.suspensions());
        return merged == state.moveStatus()
                ? stay
                : stay.with(state.with(merged))
                        .thenAll(state.routers().keySet().stream()
                                .map(router -> new SidecarAction.SendMessage(router, all))
                                .toList());
    }

    /** Requests the rule file from a router whose heartbeat reports a newer revision, from one router at a time. */
    private static Transition<SidecarState, SidecarAction> heartbeatReceived(
            SidecarState state, NodeName router, Heartbeat heartbeat, Instant now) {
        NodeConfiguration known = state.configuration();
        return known.shouldRequest(heartbeat.revision(), now)
                ? send(
                        state.with(known.withLastRequest(now)),
                        router,
                        List.of(new RulesRequest(known.document().revision())))
                : Transition.to(state);
    }

    private static Transition<SidecarState, SidecarAction> rulesRequested(SidecarState state, NodeName router) {
        return state.configuration().isPresent()
                ? send(
                        state,
                        router,
                        List.of(new RulesAnnouncement(state.configuration().document())))
                : Transition.to(state);
    }

    /** Adopts a newer rule file; an older one is ignored, so that the revision in force never decreases. */
    private Transition<SidecarState, SidecarAction> documentReceived(SidecarState state, RuleDocument document) {
        NodeConfiguration known = state.configuration();
        if (!known.isOlderThan(document)) {
            return Transition.to(state.with(known.withConfirmed(true)));
        }
        NodeConfiguration adopted = known.withDocument(document);
        LimitBounds bounds = adopted.rules()
                .target(identity.profile().target())
                .map(LinkHandler::bounds)
                .orElse(LimitBounds.MINIMUM);
        SidecarState next = state.with(adopted).with(state.upstream().withBounds(bounds));
        return Transition.<SidecarState, SidecarAction>to(next)
                .then(new SidecarAction.ConfigurationAdopted(document))
                .and(announced -> TickHandler.sendToAll(announced, List.of(TickHandler.heartbeat(announced))));
    }

    private static LimitBounds bounds(TargetRule rule) {
        return new LimitBounds(rule.coldLimit(), rule.warmLimit());
    }

    /** Requests the rule file from every router, so that a process does not use an outdated one after a pause. */
    static Transition<SidecarState, SidecarAction> requestConfirmation(SidecarState state) {
        RulesRequest request = new RulesRequest(state.configuration().document().revision());
        return Transition.<SidecarState, SidecarAction>to(
                        state.with(state.configuration().withConfirmed(false)))
                .thenAll(state.routers().keySet().stream()
                        .map(router -> new SidecarAction.SendMessage(router, request))
                        .toList());
    }

    static Transition<SidecarState, SidecarAction> send(SidecarState state, NodeName router, List<Message> messages) {
        return Transition.<SidecarState, SidecarAction>to(state)
                .thenAll(messages.stream()
                        .map(message -> new SidecarAction.SendMessage(router, message))
                        .toList());
    }
}
