package org.sassafrastrail.model;

import java.time.Duration;

/** What became of one attempt at a request. */
public sealed interface AttemptOutcome {

    /**
     * The upstream answered and the whole answer was passed on.
     *
     * @param status the HTTP status of the upstream
     * @param cost what the answer cost, in tokens for a model and calls for a service
     * @param firstByte from the start of the attempt to the first byte of the answer
     */
    record Completed(int status, long cost, Duration firstByte) implements AttemptOutcome {}

    /**
     * The attempt truly did not run.
     *
     * @param reason why
     */
    record NotRun(NotRunReason reason) implements AttemptOutcome {}

    /**
     * The upstream ran the attempt and failed before any byte of the answer reached the caller.
     *
     * @param status the HTTP status of the upstream
     */
    record UpstreamFailed(int status) implements AttemptOutcome {}

    /**
     * The answer broke off after its first bytes had reached the caller.
     *
     * @param cost what the bytes cost that arrived, in tokens
     */
    record Truncated(long cost) implements AttemptOutcome {}

    /**
     * Nobody can tell whether the attempt ran.
     *
     * @param reason why
     */
    record Unknown(UnknownReason reason) implements AttemptOutcome {}
}
