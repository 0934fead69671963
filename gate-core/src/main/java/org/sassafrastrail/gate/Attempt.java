package org.sassafrastrail.gate;

import java.time.Instant;

/**
 * A running attempt of a request at an upstream.
 *
 * @param number the number of the attempt, starting at 1
 * @param upstream the upstream that the request was sent to
 * @param prefillTokens the estimated prompt tokens that the upstream has not cached and must prefill
 * @param pendingTokens the estimated tokens of other requests that the upstream prefills before
 * @param runningBefore the number of other requests that the upstream was known to run
 * @param dispatchedAt when the request was sent to the upstream
 * @param prefilling whether the upstream has not started its response yet
 */
record Attempt(
        int number,
        Upstream upstream,
        long prefillTokens,
        long pendingTokens,
        int runningBefore,
        Instant dispatchedAt,
        boolean prefilling) {

    Attempt responseStarted() {
        return new Attempt(number, upstream, prefillTokens, pendingTokens, runningBefore, dispatchedAt, false);
    }
}
