package org.sassafrastrail.sidecar.core;

import java.time.Duration;

/**
 * The sidecar's waits.
 *
 * @param grantValidity how long a grant holds
 * @param pauseThreshold a longer gap between two ticks means that the process was frozen
 * @param ledgerInterval how often ledger entries are shared
 * @param heartbeatInterval how often the sidecar says that it is alive
 * @param continuousBacklogThreshold an account whose oldest request has waited longer was backlogged before
 */
public record SidecarTimings(
        Duration grantValidity,
        Duration pauseThreshold,
        Duration ledgerInterval,
        Duration heartbeatInterval,
        Duration continuousBacklogThreshold) {

    /** The waits of the daemon. */
    public static final SidecarTimings STANDARD = new SidecarTimings(
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            Duration.ofMillis(100),
            Duration.ofSeconds(1),
            Duration.ofSeconds(1));
}
