package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Stream;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.RefusalReason;
import org.sassafrastrail.model.TargetName;

/** Handles the arrival of requests, disconnecting callers, and expired deadlines and queueing times. */
final class CallHandler {

    /** The part of a time to return by which it is extended at most. */
    private static final double MAX_SPREAD_SHARE = 0.25;

    private static final double NANOSECONDS_IN_SECOND = 1e9;

    private final GatewayLimits limits;
    private final Scheduler scheduler;

    CallHandler(GatewayLimits limits, Scheduler scheduler) {
        this.limits = limits;
        this.scheduler = scheduler;
    }

    Transition<GatewayState, GatewayAction> callArrived(
            GatewayState state, GatewayEvent.CallArrived event, Instant now) {
        CallDescription description = event.description();
        WeightedTarget target = description.route().target((int) StableHash.of(description.request()));
        Call call = Call.arrived(event.call(), description, target.target(), now);
        if (!limits.drain().admits(description, state.stoppingSince(), now)) {
            return refuse(state, call, RefusalReason.ROUTER_STOPPING, now);
        }
        if (state.crashesUpstreams(description)) {
            return refuse(state, call, RefusalReason.UPSTREAM_CRASHES, now);
        }
        GatewayState recorded = state.with(
                        target.target(), state.retryBudget(target.target()).withRequest(now))
                .with(state.shares()
                        .withRequested(
                                SchedulingOrder.account(call),
                                description.prompt().cost(),
                                now));
        return scheduler
                .dispatchOnArrival(recorded.with(call), call, now)
                .and(next -> refuseIfPaused(next, call.number(), now))
                .and(next -> refuseBeyondLimits(next, call.target(), now));
    }

    /**
     * Refuses the queued request that is last in order, if more requests are queued before it than the limits of all upstreams
     * let through within its wait, even if no other gateway sent any.
     */
    private Transition<GatewayState, GatewayAction> refuseBeyondLimits(
            GatewayState state, TargetName target, Instant now) {
        OptionalDouble limit = scheduler.limitOfTarget(state, target, now);
        if (limit.isEmpty()) {
            return Transition.to(state);
        }
        List<Call> queued = SchedulingOrder.of(state, target, now).toList();
        return queued.stream()
                .reduce((earlier, later) -> later)
                .filter(last -> queued.size() - 1 > limit.getAsDouble() * maxQueueingSeconds(last) + 1)
                .map(last -> refuse(state, last, RefusalReason.UPSTREAMS_LIMITED, now))
                .orElseGet(() -> Transition.to(state));
    }

    private double maxQueueingSeconds(Call call) {
        return maxQueueingNanoseconds(call) / NANOSECONDS_IN_SECOND;
    }

    Transition<GatewayState, GatewayAction> callerDisconnected(
            GatewayState state, GatewayEvent.CallerDisconnected event, Instant now) {
        return state.call(event.call())
                .map(call -> cancel(recordLateAttempt(state, call, now), call)
                        .and(next -> scheduler.dispatchQueued(next, call.target(), now)))
                .orElseGet(() -> Transition.to(state));
    }

    /** Removes a request and cancels its running attempt, if there is one. */
    static Transition<GatewayState, GatewayAction> cancel(GatewayState state, Call call) {
        Transition<GatewayState, GatewayAction> cancelled =
                Transition.to(release(state, call).without(call));
        return call.attempt()
                .map(attempt -> cancelled.then(new GatewayAction.CancelAttempt(call.number(), attempt.number())))
                .orElse(cancelled);
    }

    /** Removes the request's running attempt, if there is one, from the load of its upstream. */
    static GatewayState release(GatewayState state, Call call) {
        return call.attempt()
                .flatMap(attempt ->
                        state.upstreamOf(attempt).map(upstream -> state.with(upstream.attemptEnded(attempt))))
                .orElse(state);
    }

    /** Ends requests that reached their deadline, and refuses those that were queued for too long. */
    Transition<GatewayState, GatewayAction> expire(GatewayState state, Instant now) {
        return Transition.<GatewayState, GatewayAction>to(state)
                .forEach(
                        state.calls().values().stream().filter(call -> !now.isBefore(expiresAt(state, call))),
                        (next, call) -> expireCall(next, call, now))
                .and(next -> refuseQueuedTooLong(next, now));
    }

    private Instant expiresAt(GatewayState state, Call call) {
        return limits.drain().expiresAt(call.description(), state.stoppingSince());
    }

    private Transition<GatewayState, GatewayAction> expireCall(GatewayState state, Call call, Instant now) {
        if (call.isQueued()) {
            return refuse(state, call, RefusalReason.DEADLINE_EXCEEDED, now);
        }
        return cancel(recordLateAttempt(state, call, now), call)
                .then(new GatewayAction.ReportUnknownOutcome(call.number(), true));
    }

    private static GatewayState recordLateAttempt(GatewayState state, Call call, Instant now) {
        return call.attempt()
                .map(attempt -> VersionMoveHandler.attemptGivenUp(state, call, attempt, now))
                .orElse(state);
    }

    private Transition<GatewayState, GatewayAction> refuseQueuedTooLong(GatewayState state, Instant now) {
        return Transition.<GatewayState, GatewayAction>to(state)
                .forEach(
                        state.queuedCalls().filter(call -> isQueuedTooLong(call, now)),
                        (next, call) -> refuse(next, call, RefusalReason.HELD_TOO_LONG, now));
    }

    private boolean isQueuedTooLong(Call call, Instant now) {
        return Duration.between(call.queuedSince(), now).toNanos() > maxQueueingNanoseconds(call);
    }

    private double maxQueueingNanoseconds(Call call) {
        return call.description().route().latencyTarget().toNanos() * limits.maxQueueingShare();
    }

    /** Refuses a request if it is queued and every upstream is paused, or at its limit, for longer than it may wait. */
    Transition<GatewayState, GatewayAction> refuseIfPaused(GatewayState state, long number, Instant now) {
        return state.call(number)
                .filter(Call::isQueued)
                .filter(call -> isPausedTooLong(state, call, now))
                .map(call -> refuse(state, call, reasonOfPause(state, call, now), now))
                .orElseGet(() -> Transition.to(state));
    }

    private RefusalReason reasonOfPause(GatewayState state, Call call, Instant now) {
        return scheduler.hasPausedUpstream(state, call.target(), now)
                ? RefusalReason.UPSTREAMS_PAUSED
                : RefusalReason.UPSTREAMS_LIMITED;
    }

    /**
     * Refuses the queued requests of a target for which every upstream is paused for longer than they may wait. They are told
     * to return when the first pause has ended.
     */
    Transition<GatewayState, GatewayAction> refusePaused(GatewayState state, TargetName target, Instant now) {
        return Transition.<GatewayState, GatewayAction>to(state)
                .forEach(
                        state.queuedCalls().filter(call -> call.target().equals(target)),
                        (next, call) -> refuseIfPaused(next, call.number(), now));
    }

    private boolean isPausedTooLong(GatewayState state, Call call, Instant now) {
        return scheduler
                .pausedUntil(state, call.target(), call.triedUpstreams(), now)
                .filter(end -> isQueuedTooLong(call, end) || !end.isBefore(expiresAt(state, call)))
                .isPresent();
    }

    /**
     * Ends a queued request: delivers the stored failure if there is one, reports an unknown outcome if the request may
     * have run, and refuses it otherwise.
     */
    Transition<GatewayState, GatewayAction> refuse(GatewayState state, Call call, RefusalReason reason, Instant now) {
        return Transition.<GatewayState, GatewayAction>to(state.without(call))
                .then(finalAction(state, call, reason, now));
    }

    private GatewayAction finalAction(GatewayState state, Call call, RefusalReason reason, Instant now) {
        if (call.failureStored()) {
            return new GatewayAction.DeliverStoredFailure(call.number());
        }
        return call.mayHaveRun()
                ? new GatewayAction.ReportUnknownOutcome(call.number(), reason == RefusalReason.DEADLINE_EXCEEDED)
                : new GatewayAction.Refuse(
                        call.number(),
                        reason,
                        retryAfter(state, call, reason, now),
                        Duration.between(call.queuedSince(), now),
                        scheduler.capacitySnapshot(state, call, now),
                        scheduler.accountStanding(state, call, now));
    }

    private Duration retryAfter(GatewayState state, Call call, RefusalReason reason, Instant now) {
        if (reason == RefusalReason.UPSTREAM_CRASHES) {
            return limits.crashRetention();
        }
        Optional<Duration> untilEndOfPause =
                scheduler.pausedUntil(state, call.target(), Set.of(), now).map(end -> Duration.between(now, end));
        return Stream.concat(untilEndOfPause.stream(), backlogTime(state, call, now).stream())
                .max(Comparator.naturalOrder())
                .map(time -> spread(longer(time, minRetryAfter(state, call, now)), call))
                .orElse(limits.retryAfter());
    }

    /** Returns how long the requests that wait here keep all upstreams at their limits, empty if one has no limit. */
    private Optional<Duration> backlogTime(GatewayState state, Call call, Instant now) {
        OptionalDouble limit = scheduler.limitOfTarget(state, call.target(), now);
        if (limit.isEmpty()) {
            return Optional.empty();
        }
        long queued = state.queuedCalls()
                .filter(other -> other.target().equals(call.target()))
                .count();
        return Optional.of(Duration.ofNanos(Math.round(queued / limit.getAsDouble() * NANOSECONDS_IN_SECOND)));
    }

    /** An upstream at its limit has a place every few milliseconds, for one caller: the others would return in vain. */
    private Duration minRetryAfter(GatewayState state, Call call, Instant now) {
        return scheduler.hasLimitedUpstream(state, call.target(), now) ? limits.retryAfter() : Duration.ZERO;
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    /** Extends the time until the end of a pause by up to a part of it, so that callers do not return all at once. */
    private static Duration spread(Duration time, Call call) {
        long extra = Math.round(time.toMillis() * MAX_SPREAD_SHARE);
        return time.plusMillis(Math.floorMod(StableHash.of(call.description().request()), extra + 1));
    }
}
