package org.sassafrastrail.sidecar.core;

import java.time.Duration;
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
        Duration gap = Duration.between(state.lifecycle().lastTick(), now);
        SidecarState ticked = state.with(state.lifecycle().ticked(now));
        return gap.compareTo(timings.pause()) > 0 ? LinkHandler.confirm(ticked) : Transition.stay(ticked);
    }

    /** Shares the entries that this sidecar wrote; routers pass on all others. */
    private Transition<SidecarState, SidecarAction> share(SidecarState state, Instant now) {
        if (isEarly(state.lifecycle().lastSharing(), now, timings.sharing())) {
            return Transition.stay(state);
        }
        List<LedgerEntry> own = state.ledger().unsent().stream()
                .filter(entry -> entry.writer().equals(identity.writer()))
                .toList();
        List<EvidenceEntry> evidence = state.evidence().unsent();
        SidecarState shared = state.with(state.ledger().sent())
                .with(state.evidence().sent())
                .with(state.lifecycle().shared(now));
        Stream<Message> news = Stream.concat(
                own.isEmpty() ? Stream.empty() : Stream.of(new LedgerUpdate(own)),
                evidence.isEmpty() ? Stream.empty() : Stream.of(new EvidenceUpdate(evidence)));
        return tellAll(shared, news.toList());
    }

    private Transition<SidecarState, SidecarAction> beat(SidecarState state, Instant now) {
        if (isEarly(state.lifecycle().lastHeartbeat(), now, timings.heartbeat())) {
            return Transition.stay(state);
        }
        return tellAll(state.with(state.lifecycle().beaten(now)), List.of(heartbeat(state)));
    }

    static Heartbeat heartbeat(SidecarState state) {
        return new Heartbeat(
                state.configuration().document().revision(),
                state.work().running().size(),
                state.upstream().limit().current(),
                state.lifecycle().leaving());
    }

    static Transition<SidecarState, SidecarAction> tellAll(SidecarState state, List<Message> messages) {
        return state.routers().keySet().stream()
                .reduce(
                        Transition.<SidecarState, SidecarAction>stay(state),
                        (sofar, router) -> sofar.and(next -> LinkHandler.tell(next, router, messages)),
                        (first, second) -> second);
    }

    private static boolean isEarly(Instant last, Instant now, Duration interval) {
        return Duration.between(last, now).compareTo(interval) < 0;
    }

    private static Transition<SidecarState, SidecarAction> noticeDrained(SidecarState state) {
        boolean drained = state.lifecycle().leaving() && state.work().size() == 0;
        return drained
                ? Transition.<SidecarState, SidecarAction>stay(state).then(new SidecarAction.Drained())
                : Transition.stay(state);
    }
}
