package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/**
 * Admits a request if the lag of this process does not exceed the maximum queueing time of the request. A request from a
 * sender that does not send more than an even share is admitted as long as the lag is below its latency target.
 */
final class LagAdmissionPolicy implements AdmissionPolicy {

    /** With this lag, a process has more callers than it can serve or even refuse. */
    private static final Duration OVERLOADED_LAG = Duration.ofMillis(100);

    /** Below this lag an overloaded process has caught up. Less than the lag above, so that the state does not flap. */
    private static final Duration CAUGHT_UP_LAG = Duration.ofMillis(25);

    private final Supplier<Duration> lagSource;
    private final RecentRequestCounts recentRequests;
    private final double maxQueueingShare;
    private final int maxConnections;
    private final AtomicBoolean overloaded = new AtomicBoolean();

    LagAdmissionPolicy(
            Supplier<Duration> lagSource,
            RecentRequestCounts recentRequests,
            double maxQueueingShare,
            int maxConnections) {
        this.lagSource = lagSource;
        this.recentRequests = recentRequests;
        this.maxQueueingShare = maxQueueingShare;
        this.maxConnections = maxConnections;
    }

    @Override
    public boolean admits(Duration latencyTarget, String sender) {
        recentRequests.record(sender);
        Duration lag = lagSource.get();
        return lag.toNanos() <= latencyTarget.toNanos() * maxQueueingShare
                || lag.compareTo(latencyTarget) < 0 && !recentRequests.exceedsEvenShare(sender);
    }

    @Override
    public boolean isCaughtUp() {
        Duration lag = lagSource.get();
        boolean isOverloaded = lag.compareTo(overloaded.get() ? CAUGHT_UP_LAG : OVERLOADED_LAG) >= 0;
        overloaded.set(isOverloaded);
        return !isOverloaded;
    }

    @Override
    public int maxConnections() {
        return maxConnections;
    }
}
