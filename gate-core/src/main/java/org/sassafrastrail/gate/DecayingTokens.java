package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;

/**
 * Tokens that a client account requested and was served, which decay exponentially with time.
 *
 * @param requested the tokens that its requests asked for, decayed to the given time
 * @param served the tokens of its requests that were sent to upstreams, decayed to the given time
 * @param asOf the time of these values
 */
record DecayingTokens(double requested, double served, Instant asOf) {

    private static final double NANOSECONDS_IN_SECOND = 1e9;

    static DecayingTokens zero(Instant now) {
        return new DecayingTokens(0, 0, now);
    }

    /** Returns the tokens decayed to a later time. */
    DecayingTokens decayedTo(Instant now, Duration halfLife) {
        double factor = decayFactor(asOf, now, halfLife);
        return new DecayingTokens(requested * factor, served * factor, now);
    }

    /** Returns the factor by which tokens decay between two times. */
    static double decayFactor(Instant from, Instant now, Duration halfLife) {
        double halfLives = (double) Duration.between(from, now).toNanos() / halfLife.toNanos();
        return halfLives <= 0 ? 1 : Math.pow(2, -halfLives);
    }

    /** Returns the steady-state total of decaying tokens that arrive at a constant rate per second. */
    static double steadyState(double tokensPerSecond, Duration halfLife) {
        return tokensPerSecond * halfLife.toNanos() / NANOSECONDS_IN_SECOND / Math.log(2);
    }

    DecayingTokens plus(double moreRequested, double moreServed) {
        return new DecayingTokens(requested + moreRequested, served + moreServed, asOf);
    }

    /** Adds tokens of the same time. */
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
