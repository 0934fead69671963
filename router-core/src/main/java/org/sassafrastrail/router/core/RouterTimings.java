package org.sassafrastrail.router.core;

import java.time.Duration;

/**
 * The router's waits.
 *
 * @param pause a longer gap between two ticks means that the process was frozen
 * @param silence a sidecar that said nothing for longer gets its unanswered attempts taken away
 * @param question how long the router asks a sidecar what became of an attempt
 * @param sharing how often ledger entries are passed on
 * @param heartbeat how often the router says that it is alive
 * @param keyRetry how long to wait before asking the platform's table for an idempotency key again
 */
public record RouterTimings(
        Duration pause, Duration silence, Duration question, Duration sharing, Duration heartbeat, Duration keyRetry) {

    /** The waits of the daemon. */
    public static final RouterTimings STANDARD = new RouterTimings(
            Duration.ofSeconds(1),
            Duration.ofSeconds(3),
            Duration.ofSeconds(5),
            Duration.ofMillis(100),
            Duration.ofSeconds(1),
            Duration.ofMillis(500));
}
