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

/** Does what only the passing of time brings about. */
final class TickHandler {

    private final DemandBoard demand;
    private final AttemptHandler attempts;
    private final RouterTimings timings;

    TickHandler(DemandBoard demand, AttemptHandler attempts, RouterTimings timings) {
        this.demand = demand;
        this.attempts = attempts;
        this.timings = timings;
    }

    Transition<RouterState, RouterAction> tick(RouterState state, Instant now) {
        return Transition.<RouterState, RouterAction>stay(state)
                .and(next -> noticePause(next, now))
                .and(next -> refuseLate(next, now))
                .and(next -> refuseUnclaimed(next, now))
                .and(next -> endQuestions(next, now))
                .and(next -> takeFromSilent(next, now))
                .and(next -> demand.tellAll(next, now))
                .and(next -> share(next, now))
                .and(next -> beat(next, now))
                .and(TickHandler::noticeDrained);
    }

    /** A process that was frozen may have missed a change, so it confirms its configuration before it goes on. */
    private Transition<RouterState, RouterAction> noticePause(RouterState state, Instant now) {
        RouterState ticked = state.with(state.lifecycle().ticked(now));
        return state.lifecycle().wasPaused(now, timings.pause())
                ? Transition.<RouterState, RouterAction>stay(
                                ticked.with(ticked.configuration().confirmed(false)))
                        .then(new RouterAction.ReadRules())
                : Transition.stay(ticked);
    }

    private Transition<RouterState, RouterAction> refuseLate(RouterState state, Instant now) {
        return Transition.<RouterState, RouterAction>stay(state)
                .forEach(
                        state.queues().late(now).stream(),
                        (next, late) -> Refusals.refuse(next, late, RefusalReason.DEADLINE_EXCEEDED));
    }

    /** The platform's answer about a key may never come; the request was not sent meanwhile. */
    private Transition<RouterState, RouterAction> refuseUnclaimed(RouterState state, Instant now) {
        return Transition.<RouterState, RouterAction>stay(state)
                .forEach(
                        state.claiming().values().stream().filter(request -> !now.isBefore(request.deadline())),
                        Refusals::unclaimed);
    }

    private Transition<RouterState, RouterAction> endQuestions(RouterState state, Instant now) {
        return Transition.<RouterState, RouterAction>stay(state)
                .forEach(
                        state.running().values().stream().filter(running -> running.questionEnds()
                                .filter(end -> !now.isBefore(end))
                                .isPresent()),
                        (next, running) -> attempts.questionEnded(next, running, now));
    }

    private Transition<RouterState, RouterAction> takeFromSilent(RouterState state, Instant now) {
        return Transition.<RouterState, RouterAction>stay(state)
                .forEach(
                        state.running().values().stream()
                                .filter(running -> !running.answering())
                                .filter(running -> running.questionEnds().isEmpty())
                                .filter(running -> isSilent(state, running, now)),
                        (next, running) -> attempts.silent(next, running, now));
    }

    private boolean isSilent(RouterState state, RunningRequest running, Instant now) {
        Optional<Instant> heardAt =
                Optional.ofNullable(state.sidecars().get(running.sidecar())).map(SidecarLink::heardAt);
        return running.doubtedSince()
                .or(() -> heardAt)
                .filter(last -> Duration.between(last, now).compareTo(timings.silence()) > 0)
                .isPresent();
    }

    private Transition<RouterState, RouterAction> share(RouterState state, Instant now) {
        if (!state.lifecycle().sharingIsDue(now, timings.sharing())) {
            return Transition.stay(state);
        }
        List<LedgerEntry> news = state.ledger().unsent();
        Set<NodeName> sidecars = state.sidecars().keySet();
        RouterState shared =
                state.with(state.ledger().sent()).with(state.lifecycle().shared(now));
        return Transition.<RouterState, RouterAction>stay(shared)
                .thenAll(sidecars.stream()
                        .flatMap(node -> share(state, state.sidecars().get(node), news))
                        .toList());
    }

    private static Stream<RouterAction> share(RouterState state, SidecarLink link, List<LedgerEntry> news) {
        TargetName target = link.profile().target();
        List<LedgerEntry> foreign = news.stream()
                .filter(entry -> entry.key().target().equals(target))
                .filter(entry -> !entry.writer().node().equals(link.node())
                        || !entry.writer().incarnation().equals(link.incarnation()))
                .toList();
        return foreign.isEmpty()
                ? Stream.empty()
                : Stream.of(new RouterAction.SendMessage(link.node(), new LedgerUpdate(foreign)));
    }

    private static Transition<RouterState, RouterAction> noticeDrained(RouterState state) {
        return state.lifecycle().stopping() && state.idle()
                ? Transition.<RouterState, RouterAction>stay(state).then(new RouterAction.Drained())
                : Transition.stay(state);
    }

    private Transition<RouterState, RouterAction> beat(RouterState state, Instant now) {
        if (!state.lifecycle().heartbeatIsDue(now, timings.heartbeat())) {
            return Transition.stay(state);
        }
        Heartbeat heartbeat = heartbeat(state);
        return Transition.<RouterState, RouterAction>stay(
                        state.with(state.lifecycle().beaten(now)))
                .thenAll(state.sidecars().keySet().stream()
                        .map(node -> new RouterAction.SendMessage(node, heartbeat))
                        .toList());
    }

    /** Says that this router is alive and which revision it has in force. */
    static Heartbeat heartbeat(RouterState state) {
        return new Heartbeat(
                state.configuration().document().revision(),
                state.running().size(),
                0,
                state.lifecycle().stopping());
    }
}
