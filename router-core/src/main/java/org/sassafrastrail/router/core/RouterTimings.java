package org.sassafrastrail.router.core;

import java.time.Duration;

/**
 * The intervals and timeouts of a router.
 *
 * @param pauseThreshold the maximum gap between two ticks of a running process; a longer one means that it was paused
 * @param sidecarTimeout how long a sidecar may send no message before its unanswered attempts are retried or
 *     queried
 * @param queryTimeout how long the router waits for a sidecar to report the state of an attempt
 * @param ledgerInterval the interval between ledger updates to sidecars
 * @param heartbeatInterval the interval between heartbeats to sidecars
 * @param keyRetryDelay the delay before a failed claim of an idempotency key is retried
 */
public record RouterTimings(
        Duration pauseThreshold,
        Duration sidecarTimeout,
        Duration queryTimeout,
        Duration ledgerInterval,
        Duration heartbeatInterval,
        Duration keyRetryDelay) {

    /** The intervals and timeouts of the router daemon. */
    public static final RouterTimings STANDARD = new RouterTimings(
            Duration.ofSeconds(1),
            Duration.ofSeconds(3),
            Duration.ofSeconds(5),
            Duration.ofMillis(100),
            Duration.ofSeconds(1),
            Duration.ofMillis(500));
}
