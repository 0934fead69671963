package org.sassafrastrail.sidecar.core;

import java.time.Duration;

/**
 * Follows the ratio of the least time to the first byte to the present one, and leaves room for the square root of the
 * limit to queue at the upstream.
 */
public final class GradientLimit implements ConcurrencyLimit {

    private static final double SMOOTHING = 0.2;
    private static final double LEAST_GRADIENT = 0.5;
    private static final double TOLERANCE = 1.5;

    private final LimitBounds bounds;
    private final double limit;
    private final double leastMilliseconds;

    /** Starts at one request at a time. */
    public GradientLimit() {
        this(LimitBounds.MINIMUM, LimitBounds.MINIMUM.cold(), 0);
    }

    private GradientLimit(LimitBounds bounds, double limit, double leastMilliseconds) {
        this.bounds = bounds;
        this.limit = limit;
        this.leastMilliseconds = leastMilliseconds;
    }

    @Override
    public int current() {
        return bounds.clamp(limit);
    }

    @Override
    public ConcurrencyLimit responseReceived(Duration latency, int inFlight) {
        double milliseconds = Math.max(1, latency.toMillis());
        double least = leastMilliseconds == 0 ? milliseconds : Math.min(leastMilliseconds, milliseconds);
        double gradient = Math.max(LEAST_GRADIENT, Math.min(1, TOLERANCE * least / milliseconds));
        double aim = gradient * limit + Math.sqrt(limit);
        double next = inFlight * 2 >= current() ? limit + SMOOTHING * (aim - limit) : limit;
        return new GradientLimit(bounds, Math.min(bounds.warm(), Math.max(bounds.cold(), next)), least);
    }

    @Override
    public ConcurrencyLimit resetToCold() {
        return new GradientLimit(bounds, bounds.cold(), 0);
    }

    @Override
    public ConcurrencyLimit withBounds(LimitBounds next) {
        return new GradientLimit(next, next.clamp(limit), leastMilliseconds);
    }
}
