package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.RefusalReason;

/** Decides on what callers do, and on the time that their requests have. */
final class CallHandler {

    private final GatewayLimits limits;
    private final Scheduler scheduler;

    CallHandler(GatewayLimits limits, Scheduler scheduler) {
        this.limits = limits;
        this.scheduler = scheduler;
    }

    Transition<GatewayState, GatewayAction> arrived(GatewayState state, GatewayEvent.CallArrived event, Instant now) {
        CallDescription description = event.description();
        WeightedTarget target = description.route().target((int) Mixing.mix(description.request()));
        Call call = Call.arrived(event.call(), description, target.target(), now);
        GatewayState counted = state.with(
                        target.target(), state.budget(target.target()).request(now))
                .with(state.shares()
                        .requested(Turns.account(call), description.prompt().cost(), now));
        return scheduler.sendArrived(counted.with(call), call, now);
    }

    Transition<GatewayState, GatewayAction> left(
            GatewayState state, GatewayEvent.CallerDisconnected event, Instant now) {
        return state.call(event.call())
                .map(call -> end(state, call).and(next -> scheduler.send(next, call.target(), now)))
                .orElseGet(() -> Transition.stay(state));
    }

    /** Ends a request at the gateway and, if it runs, at its upstream. */
    static Transition<GatewayState, GatewayAction> end(GatewayState state, Call call) {
        Transition<GatewayState, GatewayAction> ended =
                Transition.stay(release(state, call).without(call));
        return call.attempt()
                .map(attempt -> ended.then(new GatewayAction.CancelAttempt(call.number(), attempt.number())))
                .orElse(ended);
    }

    /** Takes the request's attempt, if there is one, off the upstream's load. */
    static GatewayState release(GatewayState state, Call call) {
        return call.attempt()
                .flatMap(attempt -> state.upstreamOf(attempt).map(upstream -> state.with(upstream.ended(attempt))))
                .orElse(state);
    }

    /** Gives requests whose time is up their final answer, and refuses those that wait too long. */
    Transition<GatewayState, GatewayAction> expire(GatewayState state, Instant now) {
        return Transition.<GatewayState, GatewayAction>stay(state)
                .forEach(
                        state.calls().values().stream()
                                .filter(call -> !now.isBefore(call.description().expiresAt())),
                        (next, call) -> expire(next, call, now))
                .and(next -> refuseStale(next, now));
    }

    private Transition<GatewayState, GatewayAction> expire(GatewayState state, Call call, Instant now) {
        if (call.waits()) {
            return refuse(state, call, RefusalReason.DEADLINE_EXCEEDED, now);
        }
        return end(state, call).then(new GatewayAction.ReportUnknownOutcome(call.number(), true));
    }

    private Transition<GatewayState, GatewayAction> refuseStale(GatewayState state, Instant now) {
        return Transition.<GatewayState, GatewayAction>stay(state)
                .forEach(
                        state.waitingCalls().filter(call -> heldTooLong(call, now)),
                        (next, call) -> refuse(next, call, RefusalReason.HELD_TOO_LONG, now));
    }

    private boolean heldTooLong(Call call, Instant now) {
        double latencyTarget = call.description().route().latencyTarget().toNanos() * limits.maxQueueingShare();
        return Duration.between(call.waitingSince(), now).toNanos() > latencyTarget;
    }

    /** Ends a request that waits: refused if it never ran, else with the failure that is kept, or as unknown. */
    Transition<GatewayState, GatewayAction> refuse(GatewayState state, Call call, RefusalReason reason, Instant now) {
        return Transition.<GatewayState, GatewayAction>stay(state.without(call))
                .then(finalAnswer(state, call, reason, now));
    }

    private GatewayAction finalAnswer(GatewayState state, Call call, RefusalReason reason, Instant now) {
        if (call.failureKept()) {
            return new GatewayAction.DeliverStoredFailure(call.number());
        }
        return call.mayHaveRun()
                ? new GatewayAction.ReportUnknownOutcome(call.number(), reason == RefusalReason.DEADLINE_EXCEEDED)
                : new GatewayAction.Refuse(
                        call.number(),
                        reason,
                        limits.retryAfter(),
                        Duration.between(call.waitingSince(), now),
                        scheduler.roomSeen(state, call, now));
    }
}
