package org.sassafrastrail.runtime;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** A clock that starts at the time of day and then only follows the steady clock, so it never jumps. */
public final class MonotonicClock extends Clock {

    private final Instant start;
    private final long startNanos;

    /**
     * Starts the clock.
     *
     * @param wallClock gives the time that it starts at
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
        throw new UnsupportedOperationException("a steady clock has no other zones");
    }

    @Override
    public Instant instant() {
        return start.plusNanos(System.nanoTime() - startNanos);
    }
}
