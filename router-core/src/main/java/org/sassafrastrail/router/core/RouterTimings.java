package org.sassafrastrail.router.core;

import java.time.Duration;

/**
 * The router's waits.
 *
 * @param pauseThreshold a longer gap between two ticks means that the process was frozen
 * @param sidecarTimeout a sidecar that said nothing for longer gets its unanswered attempts taken away
 * @param queryTimeout how long the router asks a sidecar what became of an attempt
 * @param ledgerInterval how often ledger entries are passed on
 * @param heartbeatInterval how often the router says that it is alive
 * @param keyRetryDelay how long to wait before asking the platform's table for an idempotency key again
 */
public record RouterTimings(
        Duration pauseThreshold,
        Duration sidecarTimeout,
        Duration queryTimeout,
        Duration ledgerInterval,
        Duration heartbeatInterval,
        Duration keyRetryDelay) {

    /** The waits of the daemon. */
    public static final RouterTimings STANDARD = new RouterTimings(
            Duration.ofSeconds(1),
            Duration.ofSeconds(3),
            Duration.ofSeconds(5),
            Duration.ofMillis(100),
            Duration.ofSeconds(1),
            Duration.ofMillis(500));
}
