package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.RefusalReason;

/** Decides on what callers do, and on the time that their requests have. */
final class CallHandler {

    private final GateLimits limits;
    private final Scheduler scheduler;

    CallHandler(GateLimits limits, Scheduler scheduler) {
        this.limits = limits;
        this.scheduler = scheduler;
    }

    Transition<GateState, GateAction> arrived(GateState state, GateEvent.CallArrived event, Instant now) {
        CallDescription description = event.description();
        WeightedTarget target = description.route().target((int) Mixing.mix(description.request()));
        Call call = Call.arrived(event.call(), description, target.target(), now);
        GateState counted = state.with(
                        target.target(), state.budget(target.target()).request(now))
                .with(state.shares()
                        .asked(Turns.account(call), description.prompt().cost(), now));
        return scheduler.sendArrived(counted.with(call), call, now);
    }

    Transition<GateState, GateAction> left(GateState state, GateEvent.CallerLeft event, Instant now) {
        return state.call(event.call())
                .map(call -> end(state, call).and(next -> scheduler.send(next, call.target(), now)))
                .orElseGet(() -> Transition.stay(state));
    }

    /** Ends a request at the gateway and, if it runs, at its upstream. */
    static Transition<GateState, GateAction> end(GateState state, Call call) {
        Transition<GateState, GateAction> ended =
                Transition.stay(release(state, call).without(call));
        return call.attempt()
                .map(attempt -> ended.then(new GateAction.Abandon(call.number(), attempt.number())))
                .orElse(ended);
    }

    /** Takes the request's attempt, if there is one, off the upstream's load. */
    static GateState release(GateState state, Call call) {
        return call.attempt()
                .flatMap(attempt -> state.upstreamOf(attempt).map(upstream -> state.with(upstream.ended(attempt))))
                .orElse(state);
    }

    /** Gives requests whose time is up their final answer, and refuses those that wait too long. */
    Transition<GateState, GateAction> expire(GateState state, Instant now) {
        return Transition.<GateState, GateAction>stay(state)
                .forEach(
                        state.calls().values().stream()
                                .filter(call -> !now.isBefore(call.description().giveUpAt())),
                        (next, call) -> expire(next, call, now))
                .and(next -> refuseStale(next, now));
    }

    private Transition<GateState, GateAction> expire(GateState state, Call call, Instant now) {
        if (call.waits()) {
            return refuse(state, call, RefusalReason.DEADLINE_EXCEEDED, now);
        }
        return end(state, call).then(new GateAction.Fail(call.number(), true));
    }

    private Transition<GateState, GateAction> refuseStale(GateState state, Instant now) {
        return Transition.<GateState, GateAction>stay(state)
                .forEach(
                        state.waitingCalls().filter(call -> heldTooLong(call, now)),
                        (next, call) -> refuse(next, call, RefusalReason.HELD_TOO_LONG, now));
    }

    private boolean heldTooLong(Call call, Instant now) {
        double aim = call.description().route().aim().toNanos() * limits.mostHeldShareOfAim();
        return Duration.between(call.waitingSince(), now).toNanos() > aim;
    }

    /** Ends a request that waits: refused if it never ran, else with the failure that is kept, or as unknown. */
    Transition<GateState, GateAction> refuse(GateState state, Call call, RefusalReason reason, Instant now) {
        return Transition.<GateState, GateAction>stay(state.without(call)).then(finalAnswer(state, call, reason, now));
    }

    private GateAction finalAnswer(GateState state, Call call, RefusalReason reason, Instant now) {
        if (call.failureKept()) {
            return new GateAction.DeliverKept(call.number());
        }
        return call.mayHaveRun()
                ? new GateAction.Fail(call.number(), reason == RefusalReason.DEADLINE_EXCEEDED)
                : new GateAction.Refuse(
                        call.number(),
                        reason,
                        limits.comeBackAfter(),
                        Duration.between(call.waitingSince(), now),
                        scheduler.roomSeen(state, call, now));
    }
}
