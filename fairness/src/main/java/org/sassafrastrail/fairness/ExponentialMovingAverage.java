package org.sassafrastrail.fairness;

/**
 * An exponentially weighted moving average.
 *
 * @param value the current average
 */
record ExponentialMovingAverage(double value) {

    private static final double SMOOTHING_FACTOR = 0.2;

    ExponentialMovingAverage plus(double sample) {
        return new ExponentialMovingAverage(value + SMOOTHING_FACTOR * (sample - value));
    }
}
