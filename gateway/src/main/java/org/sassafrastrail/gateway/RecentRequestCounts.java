package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the recent requests of each sender, which is a client account or, without one, a route, to tell the senders that
 * overload this process from the others. The counts are halved when a request arrives, at most once per interval.
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
        lastHalvedAt = now;
        counts.replaceAll((sender, count) -> count / 2);
        counts.values().removeIf(count -> count == 0);
    }
}
