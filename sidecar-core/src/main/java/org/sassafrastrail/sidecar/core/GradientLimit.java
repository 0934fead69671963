package org.sassafrastrail.sidecar.core;

import java.time.Duration;

/**
 * Concurrency limit that follows the latency gradient: the ratio of the minimum time to first byte to the current one.
 * The square root of the limit is added as headroom for requests that queue at the upstream.
 */
public final class GradientLimit implements ConcurrencyLimit {

    private static final double SMOOTHING = 0.2;
    private static final double MIN_GRADIENT = 0.5;
    private static final double TOLERANCE = 1.5;

    private final LimitBounds bounds;
    private final double limit;
    private final double minimumMilliseconds;

    /** Creates a limit of one concurrent request. */
    public GradientLimit() {
        this(LimitBounds.MINIMUM, LimitBounds.MINIMUM.cold(), 0);
    }

    private GradientLimit(LimitBounds bounds, double limit, double minimumMilliseconds) {
        this.bounds = bounds;
        this.limit = limit;
        this.minimumMilliseconds = minimumMilliseconds;
    }

    @Override
    public int current() {
        return bounds.clamp(limit);
    }

    @Override
    public ConcurrencyLimit responseReceived(Duration latency, int inFlight) {
        double milliseconds = Math.max(1, latency.toMillis());
        double minimum = minimumMilliseconds == 0 ? milliseconds : Math.min(minimumMilliseconds, milliseconds);
        double gradient = Math.max(MIN_GRADIENT, Math.min(1, TOLERANCE * minimum / milliseconds));
        double targetLimit = gradient * limit + Math.sqrt(limit);
        double next = inFlight * 2 >= current() ? limit + SMOOTHING * (targetLimit - limit) : limit;
        return new GradientLimit(bounds, Math.min(bounds.warm(), Math.max(bounds.cold(), next)), minimum);
    }

    @Override
    public ConcurrencyLimit resetToCold() {
        return new GradientLimit(bounds, bounds.cold(), 0);
    }

    @Override
    public ConcurrencyLimit withBounds(LimitBounds next) {
        return new GradientLimit(next, next.clamp(limit), minimumMilliseconds);
    }
}
