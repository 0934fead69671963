package org.sassafrastrail.router.core;

import java.util.List;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.RefusalReason;

/** Refuses requests that were accepted but did not run. */
final class Refusals {

    private Refusals() {}

    static Transition<RouterState, RouterAction> refuse(RouterState state, QueuedRequest queued, RefusalReason reason) {
        return Transition.<RouterState, RouterAction>to(
                        state.with(state.queues().minus(queued)))
                .then(new RouterAction.Refuse(queued.request().identifier(), reason))
                .thenAll(releaseKey(queued.request()));
    }

    /** Refuses a request whose idempotency key could not be claimed in time. */
    static Transition<RouterState, RouterAction> refuseUnclaimed(RouterState state, RouterRequest request) {
        return Transition.<RouterState, RouterAction>to(
                        state.withPendingClaims(state.pendingClaims().minus(request.identifier())))
                .then(new RouterAction.Refuse(request.identifier(), RefusalReason.IDEMPOTENCY_STORE_UNAVAILABLE))
                .thenAll(releaseKey(request));
    }

    /** Releases the idempotency key of a request that did not run, so that the caller may send the request again. */
    static List<RouterAction> releaseKey(RouterRequest request) {
        return request.idempotent()
                ? List.of()
                : request.idempotencyKey().stream()
                        .<RouterAction>map(key -> new RouterAction.ReleaseIdempotencyKey(request, key))
                        .toList();
    }
}
