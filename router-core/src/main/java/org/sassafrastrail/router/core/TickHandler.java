package org.sassafrastrail.router.core;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.fairness.LedgerEntry;
import org.sassafrastrail.messages.Heartbeat;
import org.sassafrastrail.messages.LedgerUpdate;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.RefusalReason;
import org.sassafrastrail.model.TargetName;

/** Handles the periodic tick: deadlines, timeouts, demand reports, ledger updates and heartbeats. */
final class TickHandler {

    private final DemandReporter demand;
    private final AttemptHandler attempts;
    private final RouterTimings timings;

    TickHandler(DemandReporter demand, AttemptHandler attempts, RouterTimings timings) {
        this.demand = demand;
        this.attempts = attempts;
        this.timings = timings;
    }

    Transition<RouterState, RouterAction> tick(RouterState state, Instant now) {
        return Transition.<RouterState, RouterAction>to(state)
                .and(next -> detectPause(next, now))
                .and(next -> refuseExpired(next, now))
                .and(next -> refuseUnclaimed(next, now))
                .and(next -> expireQueries(next, now))
                .and(next -> handleSilentSidecars(next, now))
                .and(next -> demand.reportToAll(next, now))
                .and(next -> sendLedgerUpdates(next, now))
                .and(next -> sendHeartbeats(next, now))
                .and(TickHandler::detectDrained);
    }

    /**
     * Requires the configuration to be confirmed after a pause of the process, because a change may have been missed.
     */
    private Transition<RouterState, RouterAction> detectPause(RouterState state, Instant now) {
        RouterState ticked = state.with(state.lifecycle().withTick(now));
        return state.lifecycle().wasPaused(now, timings.pauseThreshold())
                ? Transition.<RouterState, RouterAction>to(
                                ticked.with(ticked.configuration().withConfirmed(false)))
                        .then(new RouterAction.ReadRules())
                : Transition.to(ticked);
    }

    private Transition<RouterState, RouterAction> refuseExpired(RouterState state, Instant now) {
        return Transition.<RouterState, RouterAction>to(state)
                .forEach(
                        state.queues().expired(now).stream(),
                        (next, expired) -> Refusals.refuse(next, expired, RefusalReason.DEADLINE_EXCEEDED));
    }

    /** Refuses requests whose key claim did not complete by the deadline. They were never dispatched. */
    private Transition<RouterState, RouterAction> refuseUnclaimed(RouterState state, Instant now) {
        return Transition.<RouterState, RouterAction>to(state)
                .forEach(
                        state.pendingClaims().values().stream().filter(request -> !now.isBefore(request.deadline())),
                        Refusals::refuseUnclaimed);
    }

    private Transition<RouterState, RouterAction> expireQueries(RouterState state, Instant now) {
        return Transition.<RouterState, RouterAction>to(state)
                .forEach(
                        state.running().values().stream().filter(running -> running.queryDeadline()
                                .filter(deadline -> !now.isBefore(deadline))
                                .isPresent()),
                        (next, running) -> attempts.queryTimedOut(next, running, now));
    }

    private Transition<RouterState, RouterAction> handleSilentSidecars(RouterState state, Instant now) {
        return Transition.<RouterState, RouterAction>to(state)
                .forEach(
                        state.running().values().stream()
                                .filter(running -> !running.responding())
                                .filter(running -> running.queryDeadline().isEmpty())
                                .filter(running -> isTimedOut(state, running, now)),
                        (next, running) -> attempts.sidecarTimedOut(next, running, now));
    }

    private boolean isTimedOut(RouterState state, RunningRequest running, Instant now) {
        Optional<Instant> lastReceivedAt =
                Optional.ofNullable(state.sidecars().get(running.sidecar())).map(SidecarLink::lastReceivedAt);
        return running.unconfirmedSince()
                .or(() -> lastReceivedAt)
                .filter(last -> Duration.between(last, now).compareTo(timings.sidecarTimeout()) > 0)
                .isPresent();
    }

    private Transition<RouterState, RouterAction> sendLedgerUpdates(RouterState state, Instant now) {
        if (!state.lifecycle().isLedgerUpdateDue(now, timings.ledgerInterval())) {
            return Transition.to(state);
        }
        List<LedgerEntry> unsent = state.ledger().unsent();
        Set<NodeName> sidecars = state.sidecars().keySet();
        RouterState shared =
                state.with(state.ledger().markedSent()).with(state.lifecycle().withLedgerUpdate(now));
        return Transition.<RouterState, RouterAction>to(shared)
                .thenAll(sidecars.stream()
                        .flatMap(node -> ledgerUpdate(state, state.sidecars().get(node), unsent))
                        .toList());
    }

    private static Stream<RouterAction> ledgerUpdate(RouterState state, SidecarLink link, List<LedgerEntry> unsent) {
        TargetName target = link.profile().target();
        List<LedgerEntry> fromOthers = unsent.stream()
                .filter(entry -> entry.key().target().equals(target))
                .filter(entry -> !entry.writer().node().equals(link.node())
                        || !entry.writer().incarnation().equals(link.incarnation()))
                .toList();
        return fromOthers.isEmpty()
                ? Stream.empty()
                : Stream.of(new RouterAction.SendMessage(link.node(), new LedgerUpdate(fromOthers)));
    }

    private static Transition<RouterState, RouterAction> detectDrained(RouterState state) {
        return state.lifecycle().stopping() && state.idle()
                ? Transition.<RouterState, RouterAction>to(state).then(new RouterAction.Drained())
                : Transition.to(state);
    }

    private Transition<RouterState, RouterAction> sendHeartbeats(RouterState state, Instant now) {
        if (!state.lifecycle().isHeartbeatDue(now, timings.heartbeatInterval())) {
            return Transition.to(state);
        }
        Heartbeat heartbeat = heartbeat(state);
        return Transition.<RouterState, RouterAction>to(
                        state.with(state.lifecycle().withHeartbeat(now)))
                .thenAll(state.sidecars().keySet().stream()
                        .map(node -> new RouterAction.SendMessage(node, heartbeat))
                        .toList());
    }

    /** Returns a heartbeat with the revision in force at this router. */
    static Heartbeat heartbeat(RouterState state) {
        return new Heartbeat(
                state.configuration().document().revision(),
                state.running().size(),
                0,
                state.lifecycle().stopping());
    }
}
