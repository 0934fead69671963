package org.sassafrastrail.router.core;

import java.time.Instant;
import java.util.Optional;

import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.NodeName;

/**
 * A request with an attempt under way.
 *
 * @param queued the request, with this attempt counted
 * @param grant the grant that the attempt was sent with
 * @param responding whether bytes of the answer have reached the caller
 * @param connected whether the answer can still come
 * @param unconfirmedSince since when the router doubts that the answer will come, because a link broke; empty if it does not
 * @param queryDeadline when the router stops asking the sidecar what became of the attempt; empty if it does not ask
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

    /** The sidecar runs it still; the router asks again after a while, in case the answer can't come. */
    RunningRequest stillRunning(Instant now) {
        return new RunningRequest(queued, grant, responding, connected, Optional.of(now), Optional.empty());
    }
}
