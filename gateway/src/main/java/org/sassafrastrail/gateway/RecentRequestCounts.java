package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the recent requests of each sender, which is a client account or, without one, a route, to tell the senders that
 * overload this process from the others. The counts are halved
 * for each interval that has passed when a request arrives.
 */
final class RecentRequestCounts {

    private static final Duration HALVING_INTERVAL = Duration.ofSeconds(1);

    private final Clock clock;
    private Map<String, Integer> counts = new HashMap<>();
    private Instant lastHalvedAt;

    RecentRequestCounts(Clock clock) {
        this.clock = clock;
        this.lastHalvedAt = clock.instant();
    }

    /** Counts a request. */
    synchronized void record(String sender) {
        halveIfDue();
        counts.merge(sender, 1, Integer::sum);
    }

    /** Returns whether a sender sent more than an even share of the recent requests. */
    synchronized boolean exceedsEvenShare(String sender) {
        int total = counts.values().stream().mapToInt(Integer::intValue).sum();
        return counts.getOrDefault(sender, 0) * counts.size() > total;
    }

    private void halveIfDue() {
        Instant now = clock.instant();
        if (now.isBefore(lastHalvedAt.plus(HALVING_INTERVAL))) {
            return;
        }
        long intervals = Duration.between(lastHalvedAt, now).dividedBy(HALVING_INTERVAL);
        lastHalvedAt = lastHalvedAt.plus(HALVING_INTERVAL.multipliedBy(intervals));
        counts.replaceAll((sender, count) -> count >> Math.min(intervals, Integer.SIZE - 1));
        counts.values().removeIf(count -> count == 0);
    }
}
