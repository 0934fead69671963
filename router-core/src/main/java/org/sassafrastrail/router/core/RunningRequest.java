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
 * @param connected whether the answer can still come
 * @param doubtedSince since when the router doubts that the answer will come, because a link broke; empty if it does not
 * @param questionEnds when the router stops asking the sidecar what became of the attempt; empty if it does not ask
 */
public record RunningRequest(
        WaitingRequest waiting,
        GrantIdentifier grant,
        boolean answering,
        boolean connected,
        Optional<Instant> doubtedSince,
        Optional<Instant> questionEnds) {

    static RunningRequest dispatched(WaitingRequest waiting, GrantIdentifier grant) {
        return new RunningRequest(waiting, grant, false, true, Optional.empty(), Optional.empty());
    }

    AttemptIdentifier attempt() {
        return new AttemptIdentifier(waiting.request().identifier(), waiting.attempts());
    }

    NodeName sidecar() {
        return grant.sidecar();
    }

    RunningRequest answered() {
        return new RunningRequest(waiting, grant, true, connected, doubtedSince, questionEnds);
    }

    RunningRequest disconnected() {
        return new RunningRequest(waiting, grant, answering, false, doubtedSince, questionEnds);
    }

    RunningRequest doubted(Instant since) {
        return new RunningRequest(waiting, grant, answering, connected, Optional.of(since), questionEnds);
    }

    RunningRequest questioned(Instant until) {
        return new RunningRequest(waiting, grant, answering, connected, doubtedSince, Optional.of(until));
    }

    /** The sidecar runs it still; the router asks again after a while, in case the answer can't come. */
    RunningRequest stillRunning(Instant now) {
        return new RunningRequest(waiting, grant, answering, connected, Optional.of(now), Optional.empty());
    }
}
