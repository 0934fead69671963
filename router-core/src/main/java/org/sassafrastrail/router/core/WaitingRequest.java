package org.sassafrastrail.router.core;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.NodeName;

/**
 * A request that waits for a grant.
 *
 * @param request the request
 * @param attempts how many attempts were made
 * @param avoided sidecars whose upstreams failed it
 * @param notBefore when the next attempt may begin
 */
public record WaitingRequest(RouterRequest request, int attempts, PSet<NodeName> avoided, Instant notBefore) {

    /** How long other sidecars come first. */
    private static final Duration AVOIDANCE = Duration.ofMillis(500);

    static WaitingRequest fresh(RouterRequest request) {
        return new WaitingRequest(request, 0, HashTreePSet.empty(), request.arrivedAt());
    }

    boolean suits(NodeName sidecar, Instant now) {
        Instant earliest = avoided.contains(sidecar) ? notBefore.plus(AVOIDANCE) : notBefore;
        return !now.isBefore(earliest);
    }

    boolean isLate(Instant now) {
        return !now.isBefore(request.deadline());
    }

    AttemptIdentifier nextAttempt() {
        return new AttemptIdentifier(request.identifier(), attempts + 1);
    }

    WaitingRequest attempted() {
        return new WaitingRequest(request, attempts + 1, avoided, notBefore);
    }

    WaitingRequest again(Instant time) {
        return new WaitingRequest(request, attempts, avoided, time);
    }

    WaitingRequest avoiding(NodeName sidecar) {
        return new WaitingRequest(request, attempts, avoided.plus(sidecar), notBefore);
    }
}
