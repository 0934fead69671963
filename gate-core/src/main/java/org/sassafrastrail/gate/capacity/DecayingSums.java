package org.sassafrastrail.gate.capacity;

import java.time.Duration;
import java.time.Instant;

/**
 * Sums over responses that decay exponentially with time.
 *
 * @param sums the sums, decayed to the given time
 * @param asOf the time of the sums
 */
record DecayingSums(ResponseSums sums, Instant asOf) {

    /** A change shows in half of the weight after this time, so it is followed within seconds. */
    static final Duration HALF_LIFE = Duration.ofSeconds(2);

    private static final double NEGLIGIBLE_COUNT = 0.05;

    static DecayingSums none(Instant now) {
        return new DecayingSums(ResponseSums.NONE, now);
    }

    ResponseSums at(Instant now) {
        double halfLives = (double) Duration.between(asOf, now).toNanos() / HALF_LIFE.toNanos();
        return halfLives <= 0 ? sums : sums.scaled(Math.pow(2, -halfLives));
    }

    DecayingSums with(ResponseSums response, Instant now) {
        return new DecayingSums(at(now).plus(response), now);
    }

    boolean isNegligible(Instant now) {
        return at(now).count() < NEGLIGIBLE_COUNT;
    }
}
