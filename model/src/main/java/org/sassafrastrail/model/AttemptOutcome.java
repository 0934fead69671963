package org.sassafrastrail.model;

import java.time.Duration;

/** The outcome of one attempt at a request. */
public sealed interface AttemptOutcome {

    /**
     * The upstream responded and the complete response was forwarded.
     *
     * @param status the HTTP status of the upstream
     * @param cost the cost of the response, in tokens for a model and in calls for a service
     * @param firstByte the time from the start of the attempt to the first byte of the response
     */
    record Completed(int status, long cost, Duration firstByte) implements AttemptOutcome {}

    /**
     * The attempt is known not to have run.
     *
     * @param reason why it did not run
     */
    record NotRun(NotRunReason reason) implements AttemptOutcome {}

    /**
     * The upstream ran the attempt and failed before any byte of the response reached the caller.
     *
     * @param status the HTTP status of the upstream
     */
    record UpstreamFailed(int status) implements AttemptOutcome {}

    /**
     * The response was truncated after its first bytes had reached the caller.
     *
     * @param cost the cost of the bytes that were received, in tokens
     */
    record Truncated(long cost) implements AttemptOutcome {}

    /**
     * It is unknown whether the attempt ran.
     *
     * @param reason why it is unknown
     */
    record Unknown(UnknownReason reason) implements AttemptOutcome {}
}
