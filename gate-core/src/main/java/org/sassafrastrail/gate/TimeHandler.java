package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.stream.Collectors;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.decision.Transition;

/** Decides on what time brings: final answers, upstreams that come back, the end of a stop. */
final class TimeHandler {

    private final GateLimits limits;
    private final CallHandler calls;
    private final Scheduler scheduler;

    TimeHandler(GateLimits limits, CallHandler calls, Scheduler scheduler) {
        this.limits = limits;
        this.calls = calls;
        this.scheduler = scheduler;
    }

    Transition<GateState, GateAction> ticked(GateState state, GateEvent.Ticked event, Instant now) {
        return scheduler
                .sendAll(state.with(state.shares().levelled(capacity(state), now)), now)
                .and(next -> calls.expire(next, now))
                .and(next -> comeBack(next, now))
                .and(next -> tellPeers(next, now))
                .and(next -> drained(next, now));
    }

    private static double capacity(GateState state) {
        return state.table().map(RouteTable::tokensPerSecond).orElse(Double.POSITIVE_INFINITY);
    }

    private Transition<GateState, GateAction> tellPeers(GateState state, Instant now) {
        if (!state.peers().mayTell(now, limits.tellPeersEvery())) {
            return Transition.stay(state);
        }
        GatewayReport report = report(state, now);
        return report.isNewsAfter(state.peers().told())
                ? Transition.<GateState, GateAction>stay(
                                state.with(state.peers().told(report, now)))
                        .then(new GateAction.TellPeers(report))
                : Transition.stay(state);
    }

    private static GatewayReport report(GateState state, Instant now) {
        PMap<UpstreamIdentifier, UpstreamLoadElsewhere> loads = HashTreePMap.from(state.upstreams().values().stream()
                .filter(upstream -> upstream.running() > 0)
                .collect(Collectors.toMap(
                        upstream -> upstream.upstream().identifier(),
                        upstream -> new UpstreamLoadElsewhere(upstream.running(), upstream.tokensAhead()))));
        return new GatewayReport(loads, state.shares().told(now));
    }

    private Transition<GateState, GateAction> comeBack(GateState state, Instant now) {
        return Transition.<GateState, GateAction>stay(state)
                .forEach(
                        state.upstreams().values().stream()
                                .filter(upstream -> upstream.ejectedUntil() != Instant.MIN && !upstream.isEjected(now)),
                        (next, upstream) -> Transition.<GateState, GateAction>stay(
                                        next.with(upstream.ejected(Instant.MIN)))
                                .then(new GateAction.Believe(
                                        upstream.upstream().identifier(), Belief.BACK, "the time out is over")));
    }

    private Transition<GateState, GateAction> drained(GateState state, Instant now) {
        boolean ended = state.stoppingSince()
                .map(since -> Duration.between(since, now))
                .filter(passed -> passed.compareTo(limits.drainAtMost()) >= 0
                        || state.calls().isEmpty() && passed.compareTo(limits.drainAtLeast()) >= 0)
                .isPresent();
        Transition<GateState, GateAction> stay = Transition.stay(state);
        return ended ? stay.then(new GateAction.Drained()) : stay;
    }

    Transition<GateState, GateAction> stop(GateState state, GateEvent.StopRequested event, Instant now) {
        return Transition.stay(state.stoppingSince().isPresent() ? state : state.stopping(now));
    }
}
