package org.sassafrastrail.sidecar.core;

import java.time.Duration;

/**
 * The sidecar's waits.
 *
 * @param grant how long a grant holds
 * @param pause a longer gap between two ticks means that the process was frozen
 * @param sharing how often ledger entries are shared
 * @param heartbeat how often the sidecar says that it is alive
 * @param continuity an account whose oldest request has waited longer was backlogged before
 */
public record SidecarTimings(
        Duration grant, Duration pause, Duration sharing, Duration heartbeat, Duration continuity) {

    /** The waits of the daemon. */
    public static final SidecarTimings STANDARD = new SidecarTimings(
            Duration.ofSeconds(1),
            Duration.ofSeconds(1),
            Duration.ofMillis(100),
            Duration.ofSeconds(1),
            Duration.ofSeconds(1));
}
