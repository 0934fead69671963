package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Optional;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.RefusalReason;

/** Decides on what becomes of attempts: the end, another attempt, or a failure. */
final class AttemptHandler {

    private final GatewayLimits limits;
    private final CallHandler calls;
    private final Scheduler scheduler;

    AttemptHandler(GatewayLimits limits, CallHandler calls, Scheduler scheduler) {
        this.limits = limits;
        this.calls = calls;
        this.scheduler = scheduler;
    }

    Transition<GatewayState, GatewayAction> began(GatewayState state, GatewayEvent.ResponseStarted event, Instant now) {
        Optional<Call> running = state.call(event.call())
                .filter(call -> call.runs(event.attempt()))
                .filter(call -> call.attempt().orElseThrow().reading());
        return running.map(call -> began(state, call, now)).orElseGet(() -> Transition.stay(state));
    }

    private Transition<GatewayState, GatewayAction> began(GatewayState state, Call call, Instant now) {
        Attempt attempt = call.attempt().orElseThrow();
        GatewayState answering = state.with(call.answering());
        GatewayState read = state.upstreamOf(attempt)
                .map(upstream -> answering.with(upstream.hasRead(attempt)))
                .orElse(answering);
        return scheduler.send(read, call.target(), now);
    }

    Transition<GatewayState, GatewayAction> ended(GatewayState state, GatewayEvent.AttemptEnded event, Instant now) {
        return state.call(event.call())
                .filter(call -> call.runs(event.attempt()))
                .map(call -> judge(CallHandler.release(state, call), call, event.result(), now)
                        .and(next -> conclude(next, call, event.result(), now))
                        .and(next -> scheduler.send(next, call.target(), now)))
                .orElseGet(() -> Transition.stay(state));
    }

    /** Learns about the upstream from the result. */
    private Transition<GatewayState, GatewayAction> judge(
            GatewayState state, Call call, AttemptResult result, Instant now) {
        return state.upstreamOf(call.attempt().orElseThrow())
                .filter(upstream -> !(result instanceof AttemptResult.Declined))
                .map(upstream -> judge(state, upstream, result, now))
                .orElseGet(() -> Transition.stay(state));
    }

    private Transition<GatewayState, GatewayAction> judge(
            GatewayState state, UpstreamState upstream, AttemptResult result, Instant now) {
        if (result instanceof AttemptResult.Delivered || result instanceof AttemptResult.Failed) {
            return Transition.stay(state.with(upstream.succeeded()));
        }
        UpstreamState failed = upstream.failed();
        boolean eject =
                result instanceof AttemptResult.WrongUpstream || failed.failuresInRow() >= limits.ejectionThreshold();
        if (!eject) {
            return Transition.stay(state.with(failed));
        }
        return Transition.<GatewayState, GatewayAction>stay(
                        state.with(failed.ejected(now.plus(limits.ejectionDuration()))))
                .then(new GatewayAction.ReportUpstreamStatus(
                        upstream.upstream().identifier(),
                        UpstreamStatus.EJECTED,
                        result.getClass().getSimpleName() + " after " + failed.failuresInRow() + " failures in a row"));
    }

    private Transition<GatewayState, GatewayAction> conclude(
            GatewayState state, Call call, AttemptResult result, Instant now) {
        if (result instanceof AttemptResult.Delivered) {
            return Transition.stay(state.without(call));
        }
        Call again = call.waitingAgain(now, result);
        if (mayTryAgain(state, again, result, now)) {
            return Transition.stay(state.with(again));
        }
        return result instanceof AttemptResult.Broken
                ? Transition.<GatewayState, GatewayAction>stay(state.without(call))
                        .then(new GatewayAction.ReportUnknownOutcome(call.number(), false))
                : calls.refuse(state, again, RefusalReason.UPSTREAM_DECLINED, now);
    }

    private boolean mayTryAgain(GatewayState state, Call again, AttemptResult result, Instant now) {
        Route route = again.description().route();
        boolean safe = result.provesNotRun()
                || (result instanceof AttemptResult.Broken ? route.resumable() : route.mayRunAgain());
        double gateways = state.peers().gateways();
        boolean affordable =
                state.budget(again.target()).allows(now, limits.retryShare(), limits.retryExtra() / gateways);
        return safe
                && again.sent() < route.maxUpstreams()
                && now.isBefore(again.description().expiresAt())
                && affordable;
    }
}
