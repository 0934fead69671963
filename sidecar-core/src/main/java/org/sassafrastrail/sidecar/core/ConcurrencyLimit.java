package org.sassafrastrail.sidecar.core;

import java.time.Duration;

/** How many requests an upstream may run at once. Implementations are immutable. */
public interface ConcurrencyLimit {

    /**
     * Returns the limit.
     *
     * @return requests at once, at least 1
     */
    int current();

    /**
     * Learns that a request was answered.
     *
     * @param latency the time to the first byte
     * @param inFlight how many requests ran at once
     * @return the limit that follows
     */
    ConcurrencyLimit responseReceived(Duration latency, int inFlight);

    /**
     * Learns that the upstream is or may be in a cold start.
     *
     * @return the limit that follows
     */
    ConcurrencyLimit resetToCold();

    /**
     * Keeps within other bounds, after the rules changed.
     *
     * @param bounds the bounds
     * @return the limit that follows
     */
    ConcurrencyLimit withBounds(LimitBounds bounds);
}
