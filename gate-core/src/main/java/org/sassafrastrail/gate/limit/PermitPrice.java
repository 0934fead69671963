package org.sassafrastrail.gate.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * How much a request has to gain from an upstream with a limit, in prompt tokens, to be sent there rather than elsewhere. It
 * rises while permits are refused and falls while they are granted or nobody asks, so that the permits go to the requests that
 * would cost most elsewhere.
 *
 * @param tokens the price at the given time
 * @param setAt the time
 */
public record PermitPrice(double tokens, Instant setAt) {

    /** No price, for an upstream that has refused no permit. */
    public static final PermitPrice NONE = new PermitPrice(0, Instant.EPOCH);

    private static final double MIN_RISE_TOKENS = 250;
    private static final double RISE_FACTOR = 1.5;
    private static final double FALL_FACTOR = 0.9;
    private static final double MAX_TOKENS = 64_000;
    private static final Duration HALF_LIFE = Duration.ofSeconds(1);

    /**
     * Returns the price at a later time.
     *
     * @param now the time
     * @return the tokens
     */
    public double at(Instant now) {
        double halfLives = (double) Duration.between(setAt, now).toNanos() / HALF_LIFE.toNanos();
        return tokens == 0 ? 0 : tokens * Math.pow(2, -Math.max(0, halfLives));
    }

    PermitPrice granted(Instant now) {
        return new PermitPrice(at(now) * FALL_FACTOR, now);
    }

    PermitPrice refused(Instant now) {
        return new PermitPrice(Math.min(MAX_TOKENS, at(now) * RISE_FACTOR + MIN_RISE_TOKENS), now);
    }
}
