package org.sassafrastrail.router.core;

import java.time.Instant;
import java.util.Optional;

import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.NodeName;

/**
 * A request with an attempt in flight.
 *
 * @param queued the request, including the current attempt in its number of attempts
 * @param grant the grant that the attempt uses
 * @param responding whether the response is being forwarded to the caller
 * @param connected whether the connection that carries the response is still open
 * @param unconfirmedSince the start of the sidecar timeout: when the link to the sidecar was lost, or when the sidecar
 *     last reported the attempt as running; empty if neither happened
 * @param queryDeadline until when the router waits for the sidecar to report the state of the attempt; empty if it has
 *     not been queried
 */
public record RunningRequest(
        QueuedRequest queued,
        GrantIdentifier grant,
        boolean responding,
        boolean connected,
        Optional<Instant> unconfirmedSince,
        Optional<Instant> queryDeadline) {

    static RunningRequest dispatched(QueuedRequest queued, GrantIdentifier grant) {
        return new RunningRequest(queued, grant, false, true, Optional.empty(), Optional.empty());
    }

    AttemptIdentifier attempt() {
        return new AttemptIdentifier(queued.request().identifier(), queued.attempts());
    }

    NodeName sidecar() {
        return grant.sidecar();
    }

    RunningRequest responseStarted() {
        return new RunningRequest(queued, grant, true, connected, unconfirmedSince, queryDeadline);
    }

    RunningRequest disconnected() {
        return new RunningRequest(queued, grant, responding, false, unconfirmedSince, queryDeadline);
    }

    RunningRequest unconfirmed(Instant since) {
        return new RunningRequest(queued, grant, responding, connected, Optional.of(since), queryDeadline);
    }

    RunningRequest queried(Instant deadline) {
        return new RunningRequest(queued, grant, responding, connected, unconfirmedSince, Optional.of(deadline));
    }

    /**
     * Records that the sidecar still runs the attempt. Restarts the sidecar timeout, so that the state is queried again
     * in case the response was lost.
     */
    RunningRequest stillRunning(Instant now) {
        return new RunningRequest(queued, grant, responding, connected, Optional.of(now), Optional.empty());
    }
}
