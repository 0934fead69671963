package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.stream.Collectors;

import org.sassafrastrail.decision.Transition;

/** Decides on what time brings: final answers, upstreams that come back, the end of a stop. */
final class TimeHandler {

    private final GatewayLimits limits;
    private final CallHandler calls;
    private final Scheduler scheduler;

    TimeHandler(GatewayLimits limits, CallHandler calls, Scheduler scheduler) {
        this.limits = limits;
        this.calls = calls;
        this.scheduler = scheduler;
    }

    Transition<GatewayState, GatewayAction> ticked(GatewayState state, GatewayEvent.Ticked event, Instant now) {
        return scheduler
                .sendAll(state.with(state.shares().levelled(capacity(state), now)), now)
                .and(next -> calls.expire(next, now))
                .and(next -> comeBack(next, now))
                .and(next -> tellPeers(next, now))
                .and(next -> drained(next, now));
    }

    private static double capacity(GatewayState state) {
        return state.configuration().map(GatewayConfiguration::tokensPerSecond).orElse(Double.POSITIVE_INFINITY);
    }

    /** The more peers there are, the rarer each tells, so that none has to read more for it. */
    private Transition<GatewayState, GatewayAction> tellPeers(GatewayState state, Instant now) {
        Telling last = state.peers().telling();
        if (!last.isDue(now, limits.reportSpacing().multipliedBy(state.peers().connectedGateways() - 1))) {
            return Transition.stay(state);
        }
        Map<UpstreamIdentifier, PeerLoad> loads = loads(state);
        GatewayReport report = last.next(loads, state.shares(), now);
        return report.isEmpty()
                ? Transition.stay(state)
                : Transition.<GatewayState, GatewayAction>stay(
                                state.with(state.peers().told(last.told(report, loads, now))))
                        .then(new GatewayAction.SendReport(report));
    }

    private static Map<UpstreamIdentifier, PeerLoad> loads(GatewayState state) {
        return state.upstreams().values().stream()
                .filter(upstream -> upstream.running() > 0)
                .collect(Collectors.toUnmodifiableMap(
                        upstream -> upstream.upstream().identifier(),
                        upstream -> new PeerLoad(upstream.running(), upstream.pendingPrefillTokens())));
    }

    private Transition<GatewayState, GatewayAction> comeBack(GatewayState state, Instant now) {
        return Transition.<GatewayState, GatewayAction>stay(state)
                .forEach(
                        state.upstreams().values().stream()
                                .filter(upstream -> upstream.ejectedUntil() != Instant.MIN && !upstream.isEjected(now)),
                        (next, upstream) -> Transition.<GatewayState, GatewayAction>stay(
                                        next.with(upstream.ejected(Instant.MIN)))
                                .then(new GatewayAction.ReportUpstreamStatus(
                                        upstream.upstream().identifier(),
                                        UpstreamStatus.BACK,
                                        "the time out is over")));
    }

    private Transition<GatewayState, GatewayAction> drained(GatewayState state, Instant now) {
        boolean ended = state.stoppingSince()
                .map(since -> Duration.between(since, now))
                .filter(passed -> passed.compareTo(limits.maxDrainTime()) >= 0
                        || state.calls().isEmpty() && passed.compareTo(limits.minDrainTime()) >= 0)
                .isPresent();
        Transition<GatewayState, GatewayAction> stay = Transition.stay(state);
        return ended ? stay.then(new GatewayAction.Drained()) : stay;
    }

    Transition<GatewayState, GatewayAction> stop(GatewayState state, GatewayEvent.StopRequested event, Instant now) {
        return Transition.stay(state.stoppingSince().isPresent() ? state : state.stopping(now));
    }
}
