package org.sassafrastrail.duty;

import java.time.Duration;
import java.time.Instant;

/**
 * The windows of usage reports. They follow each other without a gap, and window 0 begins with the epoch.
 *
 * @param length the length of a window
 * @param collection the time after the end of a window in which counts of it are still collected
 */
public record UsageWindows(Duration length, Duration collection) {

    /** Leaves room before a report is late: a holder that fails meanwhile is replaced, which takes longer than its lease. */
    private static final double COLLECTION_SHARE = 0.3;

    /**
     * Derives the windows from the time at which reports are late.
     *
     * @param length the length of a window
     * @param late the time after the end of a window at which its report is due
     * @return the windows
     */
    public static UsageWindows dueAfter(Duration length, Duration late) {
        return new UsageWindows(length, Duration.ofMillis(Math.round(late.toMillis() * COLLECTION_SHARE)));
    }

    /**
     * Returns the window that a time is in.
     *
     * @param time the time
     * @return the number of the window
     */
    public long at(Instant time) {
        return Math.floorDiv(time.toEpochMilli(), length.toMillis());
    }

    /**
     * Returns the last window of which all counts have been collected.
     *
     * @param time the current time
     * @return the number of the window
     */
    public long lastCollected(Instant time) {
        return at(time.minus(collection)) - 1;
    }

    /**
     * Returns how long ago a window ended.
     *
     * @param window the number of the window
     * @param time the current time
     * @return the time since its end
     */
    public Duration sinceEnd(long window, Instant time) {
        return Duration.between(Instant.ofEpochMilli((window + 1) * length.toMillis()), time);
    }
}
