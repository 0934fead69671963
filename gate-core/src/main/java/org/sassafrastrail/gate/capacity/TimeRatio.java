package org.sassafrastrail.gate.capacity;

import java.util.Collection;

/**
 * The time that an upstream's responses take, as a multiple of the usual.
 *
 * @param value the multiple
 * @param error its standard error as a share of it
 */
record TimeRatio(double value, double error) {

    /**
     * A difference below this many standard errors is taken for noise. It is evaluated for each upstream four times a second;
     * with 3, one of 40 equal upstreams differed within 20 s.
     */
    private static final double SIGNIFICANT_ERRORS = 4;

    /** A difference counts in full from this multiple of the significant one on, and in part below. */
    private static final double FULL_DIFFERENCE = 1.5;

    /** A smaller difference, as a logarithm, is not worth another placement. */
    private static final double MIN_DIFFERENCE = 0.15;

    /** The least spread of single responses that is assumed, because a few may be equal by chance. */
    private static final double MIN_SPREAD = 0.25;

    static TimeRatio of(ResponseSums sums, TimeLine usual, double targetSpread) {
        double squares = usual.expectedSquared(sums);
        double spread =
                Math.max(Math.max(targetSpread, MIN_SPREAD), Math.sqrt(relativeResidual(sums, usual) / squares));
        return new TimeRatio(mean(sums, usual), spread * Math.sqrt(squares * sums.meanWeight()) / usual.expected(sums));
    }

    /** Returns the relative spread of single responses over a target, which is known better than that at each upstream. */
    static double spread(Collection<ResponseSums> upstreams, TimeLine usual) {
        double residual = upstreams.stream()
                .mapToDouble(sums -> relativeResidual(sums, usual))
                .sum();
        return Math.sqrt(residual
                / upstreams.stream().mapToDouble(usual::expectedSquared).sum());
    }

    private static double mean(ResponseSums sums, TimeLine usual) {
        return sums.time() / usual.expected(sums);
    }

    private static double relativeResidual(ResponseSums sums, TimeLine usual) {
        double mean = mean(sums, usual);
        double residual = sums.timeSquared()
                - 2 * mean * usual.expectedTimesActual(sums)
                + mean * mean * usual.expectedSquared(sums);
        return Math.max(0, residual) / (mean * mean);
    }

    /**
     * Returns the ratio to another one, exactly 1 unless the difference is significant. It grows continuously from there, so
     * that an upstream at the border is not placed differently from one evaluation to the next.
     */
    double significantRatioTo(double reference) {
        double difference = Math.log(value / reference);
        double threshold = Math.max(MIN_DIFFERENCE, SIGNIFICANT_ERRORS * error);
        double size = Math.abs(difference) / threshold;
        return size <= 1 ? 1 : Math.exp(difference * Math.min(1, (size - 1) / (FULL_DIFFERENCE - 1)));
    }
}
