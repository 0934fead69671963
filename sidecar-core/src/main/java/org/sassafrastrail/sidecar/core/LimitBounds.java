package org.sassafrastrail.sidecar.core;

/**
 * Bounds of a concurrency limit, taken from the rules.
 *
 * @param cold the maximum number of concurrent requests during a cold start
 * @param warm the maximum number of concurrent requests at a warm upstream
 */
public record LimitBounds(int cold, int warm) {

    /** Allows one request at a time; in force until the rules are known. */
    public static final LimitBounds MINIMUM = new LimitBounds(1, 1);

    int clamp(double limit) {
        return (int) Math.max(Math.min(cold, warm), Math.min(warm, limit));
    }
}
