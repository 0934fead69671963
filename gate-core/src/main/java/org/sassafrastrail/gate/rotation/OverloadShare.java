package org.sassafrastrail.gate.rotation;

import java.time.Duration;
import java.time.Instant;

/**
 * The share of the recent time in which a process was overloaded, as an exponentially weighted mean. A single sample counts for
 * a short time only, so that the pause of a process does not look like seconds of load.
 *
 * @param value the share, from 0 to 1
 * @param measuredAt when the last sample was taken
 */
record OverloadShare(double value, Instant measuredAt) {

    static final OverloadShare NONE = new OverloadShare(0, Instant.MAX);

    private static final Duration TIME_CONSTANT = Duration.ofSeconds(1);

    /** A sample after a pause counts for less than the share at which a gateway leaves the rotation. */
    private static final Duration MAX_TIME_OF_SAMPLE = Duration.ofMillis(75);

    OverloadShare withSample(boolean overloaded, Instant now) {
        Duration sinceLast = measuredAt.isBefore(now) ? Duration.between(measuredAt, now) : Duration.ZERO;
        Duration counted = sinceLast.compareTo(MAX_TIME_OF_SAMPLE) < 0 ? sinceLast : MAX_TIME_OF_SAMPLE;
        double weight = 1 - Math.exp(-(double) counted.toNanos() / TIME_CONSTANT.toNanos());
        return new OverloadShare(value + weight * ((overloaded ? 1 : 0) - value), now);
    }
}
