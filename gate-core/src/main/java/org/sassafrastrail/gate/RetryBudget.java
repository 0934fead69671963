package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Limits the retries for a target to a share of its requests over a sliding window.
 *
 * @param seconds the counts of each second of the window, oldest first
 */
record RetryBudget(PVector<Second> seconds) {

    static final RetryBudget EMPTY = new RetryBudget(TreePVector.empty());

    /** Shorter than the window for retries, so that no request counts for longer than a retry that it allows. */
    private static final Duration REQUEST_WINDOW = Duration.ofSeconds(9);

    private static final Duration RETRY_WINDOW = Duration.ofSeconds(11);

    /** The counts of one second. */
    record Second(long second, int requests, int retries) {}

    RetryBudget withRequest(Instant now) {
        return withCounts(now, 1, 0);
    }

    RetryBudget withRetry(Instant now) {
        return withCounts(now, 0, 1);
    }

    private RetryBudget withCounts(Instant now, int requests, int retries) {
        long second = now.getEpochSecond();
        int last = seconds.size() - 1;
        if (last >= 0 && seconds.get(last).second() == second) {
            Second current = seconds.get(last);
            return new RetryBudget(
                    seconds.with(last, new Second(second, current.requests() + requests, current.retries() + retries)));
        }
        PVector<Second> recent = TreePVector.from(seconds.stream()
                .filter(count -> count.second() >= second - RETRY_WINDOW.toSeconds())
                .toList());
        return new RetryBudget(recent.plus(new Second(second, requests, retries)));
    }

    /** Returns whether no request or retry counts any more. */
    boolean isOver(Instant now) {
        long second = now.getEpochSecond();
        return seconds.stream().allMatch(count -> count.second() < second - RETRY_WINDOW.toSeconds());
    }

    boolean allowsRetry(Instant now, double share, double extra) {
        long second = now.getEpochSecond();
        int requests = seconds.stream()
                .filter(count -> count.second() > second - REQUEST_WINDOW.toSeconds())
                .mapToInt(Second::requests)
                .sum();
        int retries = seconds.stream()
                .filter(count -> count.second() >= second - RETRY_WINDOW.toSeconds())
                .mapToInt(Second::retries)
                .sum();
        return retries + 1 <= requests * share + extra;
    }
}
