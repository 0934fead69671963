package org.sassafrastrail.router.core;

import java.time.Duration;
import java.util.SplittableRandom;

import org.sassafrastrail.model.AttemptIdentifier;

/**
 * Exponential backoff with full jitter: a random delay up to a maximum that doubles with each attempt. The delay is
 * derived from the seed and the attempt, so it is the same for the same attempt.
 */
public final class JitteredBackoff implements Backoff {

    private static final int MAX_DOUBLINGS = 6;

    private final long seed;
    private final Duration initialMaximum;

    /**
     * Creates the backoff.
     *
     * @param seed the seed of the random delays
     * @param initialMaximum the maximum delay after the first attempt
     */
    public JitteredBackoff(long seed, Duration initialMaximum) {
        this.seed = seed;
        this.initialMaximum = initialMaximum;
    }

    @Override
    public Duration delayAfter(AttemptIdentifier attempt) {
        long maximum = initialMaximum.toMillis() << Math.min(attempt.number() - 1, MAX_DOUBLINGS);
        return Duration.ofMillis(new SplittableRandom(seed ^ attempt.hashCode()).nextLong(maximum + 1));
    }
}
