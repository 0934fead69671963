package org.sassafrastrail.runtime;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * A clock that starts at the current wall-clock time and then advances by {@link System#nanoTime()}, so that it never
 * jumps when the wall clock is set.
 */
public final class MonotonicClock extends Clock {

    private final Instant start;
    private final long startNanos;

    /**
     * Creates a clock that starts at the current time of a wall clock.
     *
     * @param wallClock provides the start time
     */
    public MonotonicClock(Clock wallClock) {
        this.start = wallClock.instant();
        this.startNanos = System.nanoTime();
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        throw new UnsupportedOperationException("the time zone of a monotonic clock can't be changed");
    }

    @Override
    public Instant instant() {
        return start.plusNanos(System.nanoTime() - startNanos);
    }
}
