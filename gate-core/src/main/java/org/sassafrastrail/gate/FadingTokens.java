package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;

/**
 * Tokens that a client account asked and got, which fade with time.
 *
 * @param requested the tokens that its requests asked for, as they counted at the moment
 * @param served the tokens of its requests that were sent to upstreams, as they counted at the moment
 * @param at the moment
 */
record FadingTokens(double requested, double served, Instant at) {

    private static final double NANOSECONDS_IN_SECOND = 1e9;

    static FadingTokens none(Instant now) {
        return new FadingTokens(0, 0, now);
    }

    /** The tokens as they count at a later moment. */
    FadingTokens at(Instant now, Duration halfLife) {
        double left = left(at, now, halfLife);
        return new FadingTokens(requested * left, served * left, now);
    }

    /** The share that is left at a moment of what counted at an earlier one. */
    static double left(Instant from, Instant now, Duration halfLife) {
        double halves = (double) Duration.between(from, now).toNanos() / halfLife.toNanos();
        return halves <= 0 ? 1 : Math.pow(2, -halves);
    }

    /** What tokens that come at a steady rate, in tokens a second, add up to while they fade. */
    static double steady(double tokensPerSecond, Duration halfLife) {
        return tokensPerSecond * halfLife.toNanos() / NANOSECONDS_IN_SECOND / Math.log(2);
    }

    FadingTokens plus(double moreAsked, double moreGot) {
        return new FadingTokens(requested + moreAsked, served + moreGot, at);
    }

    /** The sum with what counts at the same moment. */
    FadingTokens plus(FadingTokens other) {
        return plus(other.requested, other.served);
    }

    FadingTokens minus(FadingTokens other) {
        return plus(-other.requested, -other.served);
    }

    boolean isNothing() {
        return requested < 1 && served < 1;
    }
}
