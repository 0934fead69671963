package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;

/**
 * Tokens that a client account asked and got, which fade with time.
 *
 * @param requested the tokens that its requests asked for, as they counted at the moment
 * @param served the tokens of its requests that were sent to upstreams, as they counted at the moment
 * @param asOf the moment
 */
record DecayingTokens(double requested, double served, Instant asOf) {

    private static final double NANOSECONDS_IN_SECOND = 1e9;

    static DecayingTokens zero(Instant now) {
        return new DecayingTokens(0, 0, now);
    }

    /** The tokens as they count at a later moment. */
    DecayingTokens decayedTo(Instant now, Duration halfLife) {
        double factor = decayFactor(asOf, now, halfLife);
        return new DecayingTokens(requested * factor, served * factor, now);
    }

    /** The share that is left at a moment of what counted at an earlier one. */
    static double decayFactor(Instant from, Instant now, Duration halfLife) {
        double halfLives = (double) Duration.between(from, now).toNanos() / halfLife.toNanos();
        return halfLives <= 0 ? 1 : Math.pow(2, -halfLives);
    }

    /** What tokens that come at a steady rate, in tokens a second, add up to while they fade. */
    static double steadyState(double tokensPerSecond, Duration halfLife) {
        return tokensPerSecond * halfLife.toNanos() / NANOSECONDS_IN_SECOND / Math.log(2);
    }

    DecayingTokens plus(double moreRequested, double moreServed) {
        return new DecayingTokens(requested + moreRequested, served + moreServed, asOf);
    }

    /** The sum with what counts at the same moment. */
    DecayingTokens plus(DecayingTokens other) {
        return plus(other.requested, other.served);
    }

    DecayingTokens minus(DecayingTokens other) {
        return plus(-other.requested, -other.served);
    }

    boolean isNegligible() {
        return requested < 1 && served < 1;
    }
}
