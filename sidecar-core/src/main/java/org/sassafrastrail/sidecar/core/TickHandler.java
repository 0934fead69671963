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

/** Does what only the passing of time brings about. */
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
        return Transition.<SidecarState, SidecarAction>stay(state)
                .and(next -> noticePause(next, now))
                .and(next -> dispatches.expire(next, now))
                .and(next -> share(next, now))
                .and(next -> beat(next, now))
                .and(TickHandler::noticeDrained);
    }

    private Transition<SidecarState, SidecarAction> noticePause(SidecarState state, Instant now) {
        SidecarState ticked = state.with(state.lifecycle().withTick(now));
        return state.lifecycle().wasPaused(now, timings.pauseThreshold())
                ? LinkHandler.confirm(ticked)
                : Transition.stay(ticked);
    }

    /** Shares the entries that this sidecar wrote; routers pass on all others. */
    private Transition<SidecarState, SidecarAction> share(SidecarState state, Instant now) {
        if (!state.lifecycle().isLedgerUpdateDue(now, timings.ledgerInterval())) {
            return Transition.stay(state);
        }
        List<LedgerEntry> own = state.ledger().unsent().stream()
                .filter(entry -> entry.writer().equals(identity.writer()))
                .toList();
        List<EvidenceEntry> evidence = state.evidence().unsent();
        SidecarState shared = state.with(state.ledger().markedSent())
                .with(state.evidence().markedSent())
                .with(state.lifecycle().withLedgerUpdate(now));
        Stream<Message> news = Stream.concat(
                own.isEmpty() ? Stream.empty() : Stream.of(new LedgerUpdate(own)),
                evidence.isEmpty() ? Stream.empty() : Stream.of(new EvidenceUpdate(evidence)));
        return tellAll(shared, news.toList());
    }

    private Transition<SidecarState, SidecarAction> beat(SidecarState state, Instant now) {
        if (!state.lifecycle().isHeartbeatDue(now, timings.heartbeatInterval())) {
            return Transition.stay(state);
        }
        return tellAll(state.with(state.lifecycle().withHeartbeat(now)), List.of(heartbeat(state)));
    }

    static Heartbeat heartbeat(SidecarState state) {
        return new Heartbeat(
                state.configuration().document().revision(),
                state.work().running().size(),
                state.upstream().limit().current(),
                state.lifecycle().stopping());
    }

    static Transition<SidecarState, SidecarAction> tellAll(SidecarState state, List<Message> messages) {
        return Transition.<SidecarState, SidecarAction>stay(state)
                .forEach(state.routers().keySet().stream(), (next, router) -> LinkHandler.tell(next, router, messages));
    }

    private static Transition<SidecarState, SidecarAction> noticeDrained(SidecarState state) {
        boolean drained = state.lifecycle().stopping() && state.work().usedSlots() == 0;
        return drained
                ? Transition.<SidecarState, SidecarAction>stay(state).then(new SidecarAction.Drained())
                : Transition.stay(state);
    }
}
