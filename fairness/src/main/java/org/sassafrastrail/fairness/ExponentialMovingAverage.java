package org.sassafrastrail.fairness;

/**
 * An exponentially weighted moving mean.
 *
 * @param value the mean so far
 */
record ExponentialMovingAverage(double value) {

    private static final double SMOOTHING_FACTOR = 0.2;

    ExponentialMovingAverage plus(double sample) {
        return new ExponentialMovingAverage(value + SMOOTHING_FACTOR * (sample - value));
    }
}
