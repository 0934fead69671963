package org.sassafrastrail.sidecar.core;

/**
 * The bounds of a concurrency limit, from the rules.
 *
 * @param cold requests at once in a cold start
 * @param warm requests at once of a warm upstream
 */
public record LimitBounds(int cold, int warm) {

    /** One request at a time, until the rules are known. */
    public static final LimitBounds MINIMUM = new LimitBounds(1, 1);

    int clamp(double limit) {
        return (int) Math.max(Math.min(cold, warm), Math.min(warm, limit));
    }
}
