package org.sassafrastrail.router.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.RefusalReason;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.rules.AccountRule;
import org.sassafrastrail.rules.TargetRule;

/** Accepts or refuses new requests, and removes requests whose caller disconnected before they were dispatched. */
final class ArrivalHandler {

    private final DemandReporter demand;
    private final RouterTimings timings;

    ArrivalHandler(DemandReporter demand, RouterTimings timings) {
        this.demand = demand;
        this.timings = timings;
    }

    Transition<RouterState, RouterAction> arrived(RouterState state, RouterEvent.RequestArrived event, Instant now) {
        Optional<AccountRule> account = state.rules().accountByKey(event.caller());
        Optional<TargetRule> target = state.rules().target(event.target());
        Optional<RefusalReason> reason = refusalReason(state, account, target);
        if (reason.isPresent()) {
            return Transition.<RouterState, RouterAction>to(state)
                    .then(new RouterAction.Refuse(event.identifier(), reason.get()));
        }
        RouterRequest request = accept(event, account.orElseThrow(), target.orElseThrow(), now);
        RouterState counted = state.with(state.retryPolicy().withRequest());
        return needsKeyClaim(request) ? claimKey(counted, request) : enqueue(counted, request, now);
    }

    Transition<RouterState, RouterAction> claimCompleted(
            RouterState state, RouterEvent.IdempotencyClaimCompleted event, Instant now) {
        RouterRequest request = state.pendingClaims().get(event.request());
        if (request == null) {
            return Transition.to(state);
        }
        RouterState rest = state.withPendingClaims(state.pendingClaims().minus(event.request()));
        return switch (event.result()) {
            case OWNED -> enqueue(rest, request, now);
            case HELD_BY_OTHER -> refuse(rest, request.identifier(), RefusalReason.IDEMPOTENCY_KEY_CLAIMED);
            case UNAVAILABLE -> now.isBefore(request.deadline())
                    ? Transition.<RouterState, RouterAction>to(state)
                            .then(new RouterAction.ClaimIdempotencyKey(
                                    request, request.idempotencyKey().orElseThrow(), timings.keyRetryDelay()))
                    : Refusals.refuseUnclaimed(state, request);
        };
    }

    Transition<RouterState, RouterAction> callerDisconnected(
            RouterState state, RouterEvent.CallerDisconnected event, Instant now) {
        RouterState unclaimed = state.withPendingClaims(state.pendingClaims().minus(event.request()));
        return state.queues()
                .find(event.request())
                .map(queued -> Refusals.refuse(unclaimed, queued, RefusalReason.CALLER_GONE))
                .orElse(Transition.to(unclaimed));
    }

    private static Optional<RefusalReason> refusalReason(
            RouterState state, Optional<AccountRule> account, Optional<TargetRule> target) {
        if (state.lifecycle().stopping()) {
            return Optional.of(RefusalReason.ROUTER_STOPPING);
        }
        if (!state.configuration().isPresent()) {
            return Optional.of(RefusalReason.NO_CONFIGURATION);
        }
        if (account.isEmpty()) {
            return Optional.of(RefusalReason.UNKNOWN_ACCOUNT);
        }
        if (target.isEmpty()) {
            return Optional.of(RefusalReason.UNKNOWN_TARGET);
        }
        boolean full =
                state.queues().size(account.get().name()) >= account.get().queueLimit();
        return full ? Optional.of(RefusalReason.ACCOUNT_QUEUE_FULL) : Optional.empty();
    }

    private static RouterRequest accept(
            RouterEvent.RequestArrived event, AccountRule account, TargetRule target, Instant now) {
        return new RouterRequest(
                event.identifier(),
                account.name(),
                target.name(),
                event.route(),
                event.safe() || target.idempotent(),
                event.idempotencyKey(),
                event.hint(),
                now,
                now.plus(event.maximumWait()));
    }

    private static boolean needsKeyClaim(RouterRequest request) {
        return !request.idempotent() && request.idempotencyKey().isPresent();
    }

    private static Transition<RouterState, RouterAction> claimKey(RouterState state, RouterRequest request) {
        return Transition.<RouterState, RouterAction>to(
                        state.withPendingClaims(state.pendingClaims().plus(request.identifier(), request)))
                .then(new RouterAction.ClaimIdempotencyKey(
                        request, request.idempotencyKey().orElseThrow(), Duration.ZERO));
    }

    private Transition<RouterState, RouterAction> enqueue(RouterState state, RouterRequest request, Instant now) {
        return Transition.<RouterState, RouterAction>to(
                        state.with(state.queues().plus(QueuedRequest.initial(request))))
                .then(new RouterAction.RequestQueued(request))
                .and(next -> demand.reportToSome(next, request, now));
    }

    private static Transition<RouterState, RouterAction> refuse(
            RouterState state, RequestIdentifier request, RefusalReason reason) {
        return Transition.<RouterState, RouterAction>to(state).then(new RouterAction.Refuse(request, reason));
    }
}
