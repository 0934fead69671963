package org.sassafrastrail.gate.capacity;

import java.util.Collection;

/**
 * The usual response time of a target's upstreams as a line over the work.
 *
 * @param intercept the time in milliseconds without work
 * @param slope the milliseconds for each unit of work
 */
record TimeLine(double intercept, double slope) {

    /**
     * Fits a line by least squares. The slope comes from the deviations within each upstream, so that a slow upstream that
     * gets little work does not flatten it.
     *
     * @param upstreams the sums of each upstream, with at least one response in all
     * @param priorSlope the slope that is assumed until responses with different work are known
     * @param priorDeviation the deviation from the mean work at which one response counts as much as the prior
     */
    static TimeLine of(Collection<ResponseSums> upstreams, double priorSlope, double priorDeviation) {
        ResponseSums total = upstreams.stream().reduce(ResponseSums.NONE, ResponseSums::plus);
        double variance =
                upstreams.stream().mapToDouble(ResponseSums::workVariance).sum();
        double covariance =
                upstreams.stream().mapToDouble(ResponseSums::covariance).sum();
        double priorWeight = priorDeviation * priorDeviation;
        double slope = Math.max(0, (covariance + priorSlope * priorWeight) / (variance + priorWeight));
        double limited = total.work() == 0 ? 0 : Math.min(slope, total.time() / total.work());
        return new TimeLine((total.time() - limited * total.work()) / total.count(), limited);
    }

    /** Returns the sum of the times that the responses would usually take. */
    double expected(ResponseSums sums) {
        return intercept * sums.count() + slope * sums.work();
    }

    /** Returns the sum of the squares of the times that the responses would usually take. */
    double expectedSquared(ResponseSums sums) {
        return intercept * intercept * sums.count()
                + 2 * intercept * slope * sums.work()
                + slope * slope * sums.workSquared();
    }

    /** Returns the sum of the products of the times that the responses took and would usually take. */
    double expectedTimesActual(ResponseSums sums) {
        return intercept * sums.time() + slope * sums.workTime();
    }
}
