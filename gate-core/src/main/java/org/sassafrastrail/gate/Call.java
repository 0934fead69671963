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
 * @param waitingSince since when it waits for its next attempt
 * @param attempts how many attempts were made
 * @param sent to how many upstreams it was sent
 * @param attempt the attempt under way
 * @param tried the upstreams that it was tried at
 * @param failureKept whether an upstream's failure is kept for it
 * @param mayHaveRun whether an attempt that ended may have run
 */
record Call(
        long number,
        CallDescription description,
        TargetName target,
        Instant waitingSince,
        int attempts,
        int sent,
        Optional<Attempt> attempt,
        PSet<UpstreamIdentifier> tried,
        boolean failureKept,
        boolean mayHaveRun) {

    static Call arrived(long number, CallDescription description, TargetName target, Instant now) {
        return new Call(number, description, target, now, 0, 0, Optional.empty(), HashTreePSet.empty(), false, false);
    }

    Call sentTo(Attempt next) {
        return new Call(
                number,
                description,
                target,
                waitingSince,
                next.number(),
                sent + 1,
                Optional.of(next),
                tried.plus(next.upstream().identifier()),
                failureKept,
                mayHaveRun);
    }

    Call answering() {
        return new Call(
                number,
                description,
                target,
                waitingSince,
                attempts,
                sent,
                attempt.map(Attempt::answering),
                tried,
                failureKept,
                mayHaveRun);
    }

    /** Waits again after an attempt. One that never reached its upstream does not count as sent. */
    Call waitingAgain(Instant now, AttemptResult result) {
        boolean reached = !(result instanceof AttemptResult.NotConnected);
        return new Call(
                number,
                description,
                target,
                now,
                attempts,
                reached ? sent : sent - 1,
                Optional.empty(),
                tried,
                failureKept || result instanceof AttemptResult.Failed,
                mayHaveRun || !result.provesNotRun());
    }

    boolean waits() {
        return attempt.isEmpty();
    }

    boolean runs(int attemptNumber) {
        return attempt.filter(running -> running.number() == attemptNumber).isPresent();
    }
}
