package org.sassafrastrail.gate.capacity;

import java.util.stream.DoubleStream;

/**
 * Sums over responses, from which their mean time and its accuracy follow. Sums of several gateways can be added.
 *
 * @param count the sum of their weights, that is, the decayed number of responses
 * @param countSquared the sum of the squares of their weights, from which the accuracy of weighted means follows
 * @param work the sum of their work
 * @param workSquared the sum of the squares of their work
 * @param time the sum of their times in milliseconds
 * @param timeSquared the sum of the squares of their times
 * @param workTime the sum of the products of work and time
 */
public record ResponseSums(
        double count,
        double countSquared,
        double work,
        double workSquared,
        double time,
        double timeSquared,
        double workTime) {

    /** No responses. */
    public static final ResponseSums NONE = new ResponseSums(0, 0, 0, 0, 0, 0, 0);

    /**
     * Returns the sums over one response.
     *
     * @param work its work
     * @param milliseconds its time
     * @return the sums
     */
    public static ResponseSums of(double work, double milliseconds) {
        return new ResponseSums(
                1, 1, work, work * work, milliseconds, milliseconds * milliseconds, work * milliseconds);
    }

    ResponseSums plus(ResponseSums other) {
        return new ResponseSums(
                count + other.count,
                countSquared + other.countSquared,
                work + other.work,
                workSquared + other.workSquared,
                time + other.time,
                timeSquared + other.timeSquared,
                workTime + other.workTime);
    }

    ResponseSums scaled(double factor) {
        return new ResponseSums(
                count * factor,
                countSquared * factor * factor,
                work * factor,
                workSquared * factor,
                time * factor,
                timeSquared * factor,
                workTime * factor);
    }

    /** Returns the mean weight, 1 if no response has decayed. */
    double meanWeight() {
        return countSquared / count;
    }

    /** Returns the sum of squared deviations of the work from its mean. */
    double workVariance() {
        return count == 0 ? 0 : Math.max(0, workSquared - work * work / count);
    }

    /** Returns the sum of products of the deviations of work and time from their means. */
    double covariance() {
        return count == 0 ? 0 : workTime - work * time / count;
    }

    /** Returns whether the numbers are possible. A message of a peer may hold any. */
    boolean isValid() {
        return DoubleStream.of(count, countSquared, work, workSquared, time, timeSquared, workTime)
                .allMatch(value -> value >= 0 && Double.isFinite(value));
    }
}
