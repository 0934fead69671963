package org.sassafrastrail.sidecar.core;

import java.time.Duration;

import org.sassafrastrail.model.NotRunReason;

/** What became of a request at the upstream. */
public sealed interface UpstreamOutcome {

    /**
     * The upstream answered.
     *
     * @param status the HTTP status
     * @param cost tokens for a model, calls for a service
     * @param firstByte the time to the first byte
     */
    record Completed(int status, long cost, Duration firstByte) implements UpstreamOutcome {

        private static final int TOO_MANY_REQUESTS = 429;
        private static final int SERVICE_UNAVAILABLE = 503;
        private static final int FIRST_SERVER_ERROR = 500;

        boolean failed() {
            return status >= FIRST_SERVER_ERROR || overloaded();
        }

        boolean overloaded() {
            return status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
        }
    }

    /**
     * The upstream did not take the request.
     *
     * @param reason why
     */
    record NotRun(NotRunReason reason) implements UpstreamOutcome {}

    /**
     * The connection to the upstream broke after the request was sent.
     *
     * @param cost what had come back until then
     */
    record ConnectionLost(long cost) implements UpstreamOutcome {}

    /**
     * The router or the caller went away, and the upstream was told to stop.
     *
     * @param cost what had come back until then
     */
    record Cancelled(long cost) implements UpstreamOutcome {}
}
