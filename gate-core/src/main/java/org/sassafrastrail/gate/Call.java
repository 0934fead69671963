package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Optional;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;
import org.sassafrastrail.model.TargetName;

/**
 * A caller's request that has no final answer yet.
 *
 * @param number the gateway's number for it
 * @param description what it asks for
 * @param target the service or model that it goes to
 * @param queuedSince since when it waits for its next attempt
 * @param attempts how many attempts were made
 * @param upstreamsReached to how many upstreams it was sent
 * @param attempt the attempt under way
 * @param triedUpstreams the upstreams that it was tried at
 * @param failureStored whether an upstream's failure is kept for it
 * @param mayHaveRun whether an attempt that ended may have run
 */
record Call(
        long number,
        CallDescription description,
        TargetName target,
        Instant queuedSince,
        int attempts,
        int upstreamsReached,
        Optional<Attempt> attempt,
        PSet<UpstreamIdentifier> triedUpstreams,
        boolean failureStored,
        boolean mayHaveRun) {

    static Call arrived(long number, CallDescription description, TargetName target, Instant now) {
        return new Call(number, description, target, now, 0, 0, Optional.empty(), HashTreePSet.empty(), false, false);
    }

    Call dispatched(Attempt next) {
        return new Call(
                number,
                description,
                target,
                queuedSince,
                next.number(),
                upstreamsReached + 1,
                Optional.of(next),
                triedUpstreams.plus(next.upstream().identifier()),
                failureStored,
                mayHaveRun);
    }

    Call responseStarted() {
        return new Call(
                number,
                description,
                target,
                queuedSince,
                attempts,
                upstreamsReached,
                attempt.map(Attempt::responseStarted),
                triedUpstreams,
                failureStored,
                mayHaveRun);
    }

    /** Waits again after an attempt. One that never reached its upstream does not count as sent. */
    Call requeued(Instant now, AttemptResult result) {
        boolean reached = !(result instanceof AttemptResult.NotConnected);
        return new Call(
                number,
                description,
                target,
                now,
                attempts,
                reached ? upstreamsReached : upstreamsReached - 1,
                Optional.empty(),
                triedUpstreams,
                failureStored || result instanceof AttemptResult.Failed,
                mayHaveRun || !result.provesNotRun());
    }

    boolean isQueued() {
        return attempt.isEmpty();
    }

    boolean isRunning(int attemptNumber) {
        return attempt.filter(running -> running.number() == attemptNumber).isPresent();
    }
}
