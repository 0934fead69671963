package org.sassafrastrail.router.core;

import java.time.Instant;
import java.util.Optional;

import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.NodeName;

/**
 * A request with an attempt under way.
 *
 * @param waiting the request, with this attempt counted
 * @param grant the grant that the attempt was sent with
 * @param answering whether bytes of the answer have reached the caller
 * @param questionEnds when the router stops asking the sidecar what became of the attempt; empty if it does not ask
 */
public record RunningRequest(
        WaitingRequest waiting, GrantIdentifier grant, boolean answering, Optional<Instant> questionEnds) {

    AttemptIdentifier attempt() {
        return new AttemptIdentifier(waiting.request().identifier(), waiting.attempts());
    }

    NodeName sidecar() {
        return grant.sidecar();
    }

    RunningRequest answered() {
        return new RunningRequest(waiting, grant, true, questionEnds);
    }

    RunningRequest questioned(Instant until) {
        return new RunningRequest(waiting, grant, answering, Optional.of(until));
    }
}
