package org.sassafrastrail.sidecar.core;

import java.time.Duration;

/**
 * Starts at the cold limit, grows by one each time that as many requests were answered as may run at once, and falls
 * back to the cold limit at once. A first byte that takes far longer than the usual one halves it.
 */
public final class AdditiveIncreaseLimit implements ConcurrencyLimit {

    private static final double FAR_OVER_USUAL = 4;
    private static final double NEWEST = 0.1;
    private static final double HALF = 0.5;

    private final LimitBounds bounds;
    private final double limit;
    private final double usualMilliseconds;

    /** Starts at one request at a time. */
    public AdditiveIncreaseLimit() {
        this(LimitBounds.MINIMUM, LimitBounds.MINIMUM.cold(), 0);
    }

    private AdditiveIncreaseLimit(LimitBounds bounds, double limit, double usualMilliseconds) {
        this.bounds = bounds;
        this.limit = limit;
        this.usualMilliseconds = usualMilliseconds;
    }

    @Override
    public int current() {
        return bounds.clamp(limit);
    }

    @Override
    public ConcurrencyLimit responseReceived(Duration latency, int inFlight) {
        double milliseconds = latency.toMillis();
        double usual =
                usualMilliseconds == 0 ? milliseconds : usualMilliseconds + NEWEST * (milliseconds - usualMilliseconds);
        boolean slow = usualMilliseconds > 1 && milliseconds > FAR_OVER_USUAL * usualMilliseconds;
        boolean used = inFlight * 2 >= current();
        double grown = used ? limit + 1 / limit : limit;
        double next = slow ? limit * HALF : grown;
        return new AdditiveIncreaseLimit(bounds, Math.min(bounds.warm(), Math.max(bounds.cold(), next)), usual);
    }

    @Override
    public ConcurrencyLimit resetToCold() {
        return new AdditiveIncreaseLimit(bounds, bounds.cold(), 0);
    }

    @Override
    public ConcurrencyLimit withBounds(LimitBounds next) {
        return new AdditiveIncreaseLimit(next, next.clamp(limit), usualMilliseconds);
    }
}
