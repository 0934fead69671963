package org.sassafrastrail.sidecar.core;

import java.time.Duration;

/**
 * Starts at the cold limit, grows by one each time that as many requests were answered as may run at once, and falls
 * back to the cold limit at once. A first byte that takes far longer than the usual one halves it.
 */
public final class AdditiveIncreaseLimit implements ConcurrencyLimit {

    private static final double SLOW_LATENCY_RATIO = 4;
    private static final double SMOOTHING = 0.1;
    private static final double DECREASE_FACTOR = 0.5;

    private final LimitBounds bounds;
    private final double limit;
    private final double averageMilliseconds;

    /** Starts at one request at a time. */
    public AdditiveIncreaseLimit() {
        this(LimitBounds.MINIMUM, LimitBounds.MINIMUM.cold(), 0);
    }

    private AdditiveIncreaseLimit(LimitBounds bounds, double limit, double averageMilliseconds) {
        this.bounds = bounds;
        this.limit = limit;
        this.averageMilliseconds = averageMilliseconds;
    }

    @Override
    public int current() {
        return bounds.clamp(limit);
    }

    @Override
    public ConcurrencyLimit responseReceived(Duration latency, int inFlight) {
        double milliseconds = latency.toMillis();
        double average = averageMilliseconds == 0
                ? milliseconds
                : averageMilliseconds + SMOOTHING * (milliseconds - averageMilliseconds);
        boolean slow = averageMilliseconds > 1 && milliseconds > SLOW_LATENCY_RATIO * averageMilliseconds;
        boolean atLeastHalfUsed = inFlight * 2 >= current();
        double increased = atLeastHalfUsed ? limit + 1 / limit : limit;
        double next = slow ? limit * DECREASE_FACTOR : increased;
        return new AdditiveIncreaseLimit(bounds, Math.min(bounds.warm(), Math.max(bounds.cold(), next)), average);
    }

    @Override
    public ConcurrencyLimit resetToCold() {
        return new AdditiveIncreaseLimit(bounds, bounds.cold(), 0);
    }

    @Override
    public ConcurrencyLimit withBounds(LimitBounds next) {
        return new AdditiveIncreaseLimit(next, next.clamp(limit), averageMilliseconds);
    }
}
