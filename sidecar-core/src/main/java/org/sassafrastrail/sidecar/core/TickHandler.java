package org.sassafrastrail.sidecar.core;

import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.fairness.LedgerEntry;
import org.sassafrastrail.messages.EvidenceEntry;
import org.sassafrastrail.messages.EvidenceUpdate;
import org.sassafrastrail.messages.Heartbeat;
import org.sassafrastrail.messages.LedgerUpdate;
import org.sassafrastrail.messages.Message;

/** Handles ticks: pause detection, grant expiry, ledger updates, heartbeats and the end of a drain. */
final class TickHandler {

    private final SidecarIdentity identity;
    private final DispatchHandler dispatches;
    private final SidecarTimings timings;

    TickHandler(SidecarIdentity identity, DispatchHandler dispatches, SidecarTimings timings) {
        this.identity = identity;
        this.dispatches = dispatches;
        this.timings = timings;
    }

    Transition<SidecarState, SidecarAction> tick(SidecarState state, Instant now) {
        return Transition.<SidecarState, SidecarAction>to(state)
                .and(next -> detectPause(next, now))
                .and(next -> dispatches.expireGrants(next, now))
                .and(next -> sendLedgerUpdates(next, now))
                .and(next -> sendHeartbeats(next, now))
                .and(TickHandler::detectDrained);
    }

    private Transition<SidecarState, SidecarAction> detectPause(SidecarState state, Instant now) {
        SidecarState ticked = state.with(state.lifecycle().withTick(now));
        return state.lifecycle().wasPaused(now, timings.pauseThreshold())
                ? LinkHandler.requestConfirmation(ticked)
                : Transition.to(ticked);
    }

    /** Sends only the ledger entries that this sidecar wrote; routers relay all others. */
    private Transition<SidecarState, SidecarAction> sendLedgerUpdates(SidecarState state, Instant now) {
        if (!state.lifecycle().isLedgerUpdateDue(now, timings.ledgerInterval())) {
            return Transition.to(state);
        }
        List<LedgerEntry> own = state.ledger().unsent().stream()
                .filter(entry -> entry.writer().equals(identity.ledgerWriter()))
                .toList();
        List<EvidenceEntry> evidence = state.evidence().unsent();
        SidecarState marked = state.with(state.ledger().markedSent())
                .with(state.evidence().markedSent())
                .with(state.lifecycle().withLedgerUpdate(now));
        Stream<Message> updates = Stream.concat(
                own.isEmpty() ? Stream.empty() : Stream.of(new LedgerUpdate(own)),
                evidence.isEmpty() ? Stream.empty() : Stream.of(new EvidenceUpdate(evidence)));
        return sendToAll(marked, updates.toList());
    }

    private Transition<SidecarState, SidecarAction> sendHeartbeats(SidecarState state, Instant now) {
        if (!state.lifecycle().isHeartbeatDue(now, timings.heartbeatInterval())) {
            return Transition.to(state);
        }
        return sendToAll(state.with(state.lifecycle().withHeartbeat(now)), List.of(heartbeat(state)));
    }

    static Heartbeat heartbeat(SidecarState state) {
        return new Heartbeat(
                state.configuration().document().revision(),
                state.work().running().size(),
                state.upstream().limit().current(),
                state.lifecycle().stopping());
    }

    static Transition<SidecarState, SidecarAction> sendToAll(SidecarState state, List<Message> messages) {
        return Transition.<SidecarState, SidecarAction>to(state)
                .forEach(state.routers().keySet().stream(), (next, router) -> LinkHandler.send(next, router, messages));
    }

    private static Transition<SidecarState, SidecarAction> detectDrained(SidecarState state) {
        boolean drained = state.lifecycle().stopping() && state.work().usedSlots() == 0;
        return drained
                ? Transition.<SidecarState, SidecarAction>to(state).then(new SidecarAction.Drained())
                : Transition.to(state);
    }
}
