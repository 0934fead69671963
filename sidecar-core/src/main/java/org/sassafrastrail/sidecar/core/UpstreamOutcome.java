package org.sassafrastrail.sidecar.core;

import java.time.Duration;

import org.sassafrastrail.model.NotRunReason;

/** Outcome of an attempt at the upstream. */
public sealed interface UpstreamOutcome {

    /**
     * The upstream's response was received completely.
     *
     * @param status the HTTP status
     * @param cost the cost of the response, in tokens for a model and calls for a service
     * @param firstByte the time to first byte
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
     * The request did not reach the upstream.
     *
     * @param reason why the attempt did not run
     */
    record NotRun(NotRunReason reason) implements UpstreamOutcome {}

    /**
     * The connection to the upstream was lost after the request was sent, before or during the response.
     *
     * @param cost the cost of the response received until then
     */
    record ConnectionLost(long cost) implements UpstreamOutcome {}

    /**
     * The router disconnected, for example because its caller did, so the upstream request was cancelled.
     *
     * @param cost the cost of the response received until then
     */
    record Cancelled(long cost) implements UpstreamOutcome {}
}
