package org.sassafrastrail.router.core;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.NodeName;

/**
 * A request that is queued until a sidecar grants it a slot.
 *
 * @param request the request
 * @param attempts the number of attempts so far
 * @param avoided the sidecars of earlier attempts; other sidecars are preferred
 * @param notBefore the earliest time of the next attempt
 */
public record QueuedRequest(RouterRequest request, int attempts, PSet<NodeName> avoided, Instant notBefore) {

    /** How long a retry is reserved for sidecars that have not yet attempted the request. */
    private static final Duration AVOIDANCE_PERIOD = Duration.ofMillis(500);

    static QueuedRequest initial(RouterRequest request) {
        return new QueuedRequest(request, 0, HashTreePSet.empty(), request.arrivedAt());
    }

    boolean isEligibleFor(NodeName sidecar, Instant now) {
        Instant earliest = avoided.contains(sidecar) ? notBefore.plus(AVOIDANCE_PERIOD) : notBefore;
        return !now.isBefore(earliest);
    }

    boolean isExpired(Instant now) {
        return !now.isBefore(request.deadline());
    }

    AttemptIdentifier nextAttempt() {
        return new AttemptIdentifier(request.identifier(), attempts + 1);
    }

    QueuedRequest withAttempt() {
        return new QueuedRequest(request, attempts + 1, avoided, notBefore);
    }

    QueuedRequest withNotBefore(Instant time) {
        return new QueuedRequest(request, attempts, avoided, time);
    }

    QueuedRequest avoiding(NodeName sidecar) {
        return new QueuedRequest(request, attempts, avoided.plus(sidecar), notBefore);
    }
}
