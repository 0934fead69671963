package org.sassafrastrail.sidecar.core;

import java.time.Duration;

/**
 * Intervals and timeouts of a sidecar.
 *
 * @param grantValidity how long a grant can be used after it was offered
 * @param pauseThreshold a longer gap between two ticks means that the process was paused
 * @param ledgerInterval the interval between ledger updates to the routers
 * @param heartbeatInterval the interval between heartbeats
 * @param continuousBacklogThreshold an account whose oldest request has been queued for at least this long counts as
 *     continuously backlogged, so its virtual token counter is not lifted
 */
public record SidecarTimings(
        Duration grantValidity,
        Duration pauseThreshold,
        Duration ledgerInterval,
        Duration heartbeatInterval,
        Duration continuousBacklogThreshold) {

    /** The timings of the sidecar daemon. */
    public static final SidecarTimings STANDARD = new SidecarTimings(
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            Duration.ofMillis(100),
            Duration.ofSeconds(1),
            Duration.ofSeconds(1));
}
