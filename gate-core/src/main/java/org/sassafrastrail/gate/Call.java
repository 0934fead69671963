package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Optional;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;
import org.sassafrastrail.model.TargetName;

/**
 * A caller's request without a final response.
 *
 * @param number the number that the gateway assigned to it
 * @param description the properties of the request
 * @param target the service or model that serves it
 * @param queuedSince when it was last queued, on arrival or after a failed attempt
 * @param attempts the number of attempts made
 * @param upstreamsReached the number of upstreams that it was sent to
 * @param attempt the running attempt, empty while the request is queued
 * @param triedUpstreams the upstreams of all attempts, which get no further attempt
 * @param failureStored whether a failure response of an upstream is stored for delivery
 * @param mayHaveRun whether an attempt that ended may have been executed by its upstream
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

    /**
     * Queues the request again after an attempt. An attempt that could not connect does not count as an upstream
     * reached.
     */
    Call requeued(Instant now, AttemptResult result) {
        return new Call(
                number,
                description,
                target,
                now,
                attempts,
                result.reached() ? upstreamsReached : upstreamsReached - 1,
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
