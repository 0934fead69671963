package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Optional;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.RefusalReason;

/** Handles the progress and the end of attempts: completes a request, retries it or fails it. */
final class AttemptHandler {

    private final GatewayLimits limits;
    private final CallHandler calls;
    private final Scheduler scheduler;

    AttemptHandler(GatewayLimits limits, CallHandler calls, Scheduler scheduler) {
        this.limits = limits;
        this.calls = calls;
        this.scheduler = scheduler;
    }

    Transition<GatewayState, GatewayAction> responseStarted(
            GatewayState state, GatewayEvent.ResponseStarted event, Instant now) {
        Optional<Call> running = state.call(event.call())
                .filter(call -> call.isRunning(event.attempt()))
                .filter(call -> call.attempt().orElseThrow().prefilling());
        return running.map(call -> responseStarted(
                        event.successful() ? successful(state, call, now) : state, call, event.load(), now))
                .orElseGet(() -> Transition.to(state));
    }

    /** Learns from a response that is no failure. A fast failure says nothing about the speed of the upstream. */
    private static GatewayState successful(GatewayState state, Call call, Instant now) {
        return CapacityHandler.responseStarted(
                CrashHandler.served(state, call, now), call.attempt().orElseThrow(), now);
    }

    private Transition<GatewayState, GatewayAction> responseStarted(
            GatewayState state, Call call, Optional<ReportedLoad> load, Instant now) {
        Attempt attempt = call.attempt().orElseThrow();
        GatewayState started = state.with(call.responseStarted());
        GatewayState prefilled = state.upstreamOf(attempt)
                .map(upstream -> upstream.prefillFinished(attempt).withPrefillTime(attempt, now))
                .map(upstream -> load.map(reported -> withReportedLoad(state, upstream, reported, now))
                        .orElse(upstream))
                .map(started::with)
                .orElse(started);
        return scheduler.dispatchQueued(
                VersionMoveHandler.responseStarted(prefilled, call, attempt, now), call.target(), now);
    }

    private static UpstreamState withReportedLoad(
            GatewayState state, UpstreamState upstream, ReportedLoad load, Instant now) {
        int known = upstream.running()
                + state.peers().loadAt(upstream.upstream().identifier()).running();
        return upstream.with(UnknownLoad.of(load, known, now));
    }

    Transition<GatewayState, GatewayAction> attemptEnded(
            GatewayState state, GatewayEvent.AttemptEnded event, Instant now) {
        return state.call(event.call())
                .filter(call -> call.isRunning(event.attempt()))
                .map(call -> updateUpstream(
                                recordFailure(CallHandler.release(state, call), call, event.result()),
                                call,
                                event.result(),
                                now)
                        .and(next -> resolve(next, call, event.result(), now))
                        .and(next -> Transition.to(CrashHandler.attemptEnded(next, call, event.result(), now)))
                        .and(next -> scheduler.dispatchQueued(next, call.target(), now))
                        .and(next -> calls.refuseIfPaused(next, call.number(), now)))
                .orElseGet(() -> Transition.to(state));
    }

    private static GatewayState recordFailure(GatewayState state, Call call, AttemptResult result) {
        boolean failed = result instanceof AttemptResult.Failed
                || result instanceof AttemptResult.Lost
                || result instanceof AttemptResult.Broken;
        return failed
                ? VersionMoveHandler.attemptFailed(state, call, call.attempt().orElseThrow())
                : state;
    }

    /**
     * Updates the upstream's failure count and ejection from the result. A response with an error status counts as a
     * success here, because the upstream responded; a request that was declined or not sent says nothing about its health.
     */
    private Transition<GatewayState, GatewayAction> updateUpstream(
            GatewayState state, Call call, AttemptResult result, Instant now) {
        return state.upstreamOf(call.attempt().orElseThrow())
                .filter(upstream ->
                        !(result instanceof AttemptResult.Declined || result instanceof AttemptResult.NotSent))
                .map(upstream -> updateUpstream(state, upstream, result, now))
                .orElseGet(() -> Transition.to(state));
    }

    private Transition<GatewayState, GatewayAction> updateUpstream(
            GatewayState state, UpstreamState upstream, AttemptResult result, Instant now) {
        if (result instanceof AttemptResult.Delivered || result instanceof AttemptResult.Failed) {
            return Transition.to(state.with(upstream.succeeded()));
        }
        UpstreamState failed = upstream.failed();
        boolean eject = result instanceof AttemptResult.WrongUpstream
                || failed.health().consecutiveFailures() >= limits.ejectionThreshold();
        if (!eject) {
            return Transition.to(state.with(failed));
        }
        return Transition.<GatewayState, GatewayAction>to(
                        state.with(failed.withEjectedUntil(now.plus(limits.ejectionDuration()))))
                .then(new GatewayAction.ReportUpstreamStatus(
                        upstream.upstream().identifier(),
                        UpstreamStatus.EJECTED,
                        result.getClass().getSimpleName() + " after "
                                + failed.health().consecutiveFailures() + " consecutive failures"));
    }

    private Transition<GatewayState, GatewayAction> resolve(
            GatewayState state, Call call, AttemptResult result, Instant now) {
        if (result instanceof AttemptResult.Delivered) {
            return Transition.to(state.without(call));
        }
        Call requeued = call.requeued(now, result);
        if (mayRetry(state, requeued, result, now)) {
            return Transition.to(state.with(requeued));
        }
        return result instanceof AttemptResult.Broken
                ? Transition.<GatewayState, GatewayAction>to(state.without(call))
                        .then(new GatewayAction.ReportUnknownOutcome(call.number(), false))
                : calls.refuse(state, requeued, RefusalReason.UPSTREAM_DECLINED, now);
    }

    private boolean mayRetry(GatewayState state, Call requeued, AttemptResult result, Instant now) {
        Route route = requeued.description().route();
        boolean safeToRetry = result.provesNotRun()
                || (result instanceof AttemptResult.Broken ? route.resumable() : route.allowsReexecution());
        double gateways = state.peers().gateways();
        boolean withinBudget = state.retryBudget(requeued.target())
                .allowsRetry(now, limits.retryShare(), limits.retryExtra() / gateways);
        return safeToRetry
                && !state.crashesUpstreams(requeued.description())
                && requeued.upstreamsReached() < route.maxUpstreams()
                && now.isBefore(limits.drain().expiresAt(requeued.description(), state.stoppingSince()))
                && withinBudget;
    }
}
