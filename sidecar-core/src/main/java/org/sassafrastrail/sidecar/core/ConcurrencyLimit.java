package org.sassafrastrail.sidecar.core;

import java.time.Duration;

/** Limit on the number of concurrent requests at an upstream. Implementations are immutable. */
public interface ConcurrencyLimit {

    /**
     * Returns the current limit.
     *
     * @return the maximum number of concurrent requests, at least 1
     */
    int current();

    /**
     * Updates the limit after a successful response.
     *
     * @param latency the time to first byte
     * @param inFlight the number of requests in flight, including this one
     * @return the updated limit
     */
    ConcurrencyLimit responseReceived(Duration latency, int inFlight);

    /**
     * Resets the limit because the upstream is or may be in a cold start.
     *
     * @return the reset limit
     */
    ConcurrencyLimit resetToCold();

    /**
     * Applies new bounds after a change of the rules.
     *
     * @param bounds the new bounds
     * @return the limit within the new bounds
     */
    ConcurrencyLimit withBounds(LimitBounds bounds);
}
