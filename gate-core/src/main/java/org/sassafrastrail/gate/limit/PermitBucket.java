package org.sassafrastrail.gate.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * A token bucket from which the permits for one upstream are issued. It holds little, so that what was not issued is not
 * made up for later.
 *
 * @param permits the permits that can be issued, with a fraction
 * @param updatedAt the time of this number
 */
record PermitBucket(double permits, Instant updatedAt) {

    /** The time whose permits it holds at most, if that is more than one. */
    private static final double CAPACITY_SECONDS = 0.25;

    private static final double NANOSECONDS_IN_SECOND = 1e9;

    /** Makes up for the rounding of fractions. */
    private static final double ONE_PERMIT = 1 - 1e-9;

    static PermitBucket empty(Instant now) {
        return new PermitBucket(0, now);
    }

    /** Adds the permits since the last time. Without a limit there is always a permit. */
    PermitBucket filledAt(double permitsPerSecond, Instant now) {
        if (Double.isInfinite(permitsPerSecond)) {
            return new PermitBucket(1, now);
        }
        double seconds = Math.max(0, Duration.between(updatedAt, now).toNanos() / NANOSECONDS_IN_SECOND);
        double capacity = Math.max(1, permitsPerSecond * CAPACITY_SECONDS);
        return new PermitBucket(Math.min(capacity, permits + permitsPerSecond * seconds), now);
    }

    boolean hasPermit() {
        return permits >= ONE_PERMIT;
    }

    PermitBucket issued() {
        return new PermitBucket(permits - 1, updatedAt);
    }

    /** Returns the time until there is a permit. */
    Duration delay(double permitsPerSecond) {
        double seconds = Math.max(0, 1 - permits) / permitsPerSecond;
        return Duration.ofNanos((long) Math.ceil(seconds * NANOSECONDS_IN_SECOND));
    }
}
