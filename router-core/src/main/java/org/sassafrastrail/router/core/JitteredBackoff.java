package org.sassafrastrail.router.core;

import java.time.Duration;
import java.util.SplittableRandom;

import org.sassafrastrail.model.AttemptIdentifier;

/**
 * Doubles the longest wait with each attempt and waits a random part of it. The part is drawn from the seed and the
 * attempt, so the same attempt always waits as long.
 */
public final class JitteredBackoff implements Backoff {

    private static final int MAX_DOUBLINGS = 6;

    private final long seed;
    private final Duration initialMaximum;

    /**
     * Sets the waits.
     *
     * @param seed the seed of the random parts
     * @param initialMaximum the longest wait after the first attempt
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
