package org.sassafrastrail.fairness;

/**
 * An exponentially weighted moving mean.
 *
 * @param value the mean so far
 */
record MovingMean(double value) {

    private static final double NEWEST = 0.2;

    MovingMean plus(double sample) {
        return new MovingMean(value + NEWEST * (sample - value));
    }
}
