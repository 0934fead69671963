package org.sassafrastrail.messages;

/**
 * Decayed sums over the responses of an upstream to one gateway.
 *
 * @param upstream the identifier of the upstream
 * @param startedAtMillis the start of the upstream in wall-clock milliseconds, 0 if unknown
 * @param prefill whether the work is measured in tokens to prefill, and not in running requests
 * @param count the sum of the weights of the responses
 * @param countSquared the sum of the squares of their weights
 * @param work the sum of their work
 * @param workSquared the sum of the squares of their work
 * @param time the sum of their times in milliseconds
 * @param timeSquared the sum of the squares of their times
 * @param workTime the sum of the products of work and time
 */
public record UpstreamResponses(
        String upstream,
        long startedAtMillis,
        boolean prefill,
        double count,
        double countSquared,
        double work,
        double workSquared,
        double time,
        double timeSquared,
        double workTime) {}
