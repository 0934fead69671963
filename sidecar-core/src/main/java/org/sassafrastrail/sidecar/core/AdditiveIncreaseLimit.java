package org.sassafrastrail.sidecar.core;

import java.time.Duration;

/**
 * Concurrency limit with additive increase and multiplicative decrease. It starts at the cold limit. While at least
 * half of the limit is in use, it grows by one each time as many responses have arrived as the limit allows concurrent
 * requests. A time to first byte of more than four times the moving average halves the limit, but never below the cold
 * limit; a cold start resets it to the cold limit at once.
 */
public final class AdditiveIncreaseLimit implements ConcurrencyLimit {

    private static final double SLOW_LATENCY_RATIO = 4;
    private static final double SMOOTHING = 0.1;
    private static final double DECREASE_FACTOR = 0.5;

    private final LimitBounds bounds;
    private final double limit;
    private final double averageMilliseconds;

    /** Creates a limit of one concurrent request. */
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
