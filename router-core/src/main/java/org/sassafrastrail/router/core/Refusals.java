package org.sassafrastrail.router.core;

import java.util.List;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.RefusalReason;

/** Ends waiting requests that did not run. */
final class Refusals {

    private Refusals() {}

    static Transition<RouterState, RouterAction> refuse(
            RouterState state, WaitingRequest waiting, RefusalReason reason) {
        return Transition.<RouterState, RouterAction>stay(
                        state.with(state.queues().minus(waiting)))
                .then(new RouterAction.Refuse(waiting.request().identifier(), reason))
                .thenAll(release(waiting.request()));
    }

    /** Frees the idempotency key of a request that did not run, so that the caller may send it again. */
    static List<RouterAction> release(RouterRequest request) {
        return request.repeatable()
                ? List.of()
                : request.idempotencyKey().stream()
                        .<RouterAction>map(key -> new RouterAction.ReleaseKey(request, key))
                        .toList();
    }
}
