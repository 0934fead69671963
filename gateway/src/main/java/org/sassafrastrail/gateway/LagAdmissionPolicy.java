package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/**
 * Admits a request if this process comes to it within the time that the request may be held. One whose sender does not press
 * on this process is admitted as long as it may still be on time.
 */
final class LagAdmissionPolicy implements AdmissionPolicy {

    /** So far behind, a process has more callers than it can serve or even refuse. */
    private static final Duration OVERLOADED_LAG = Duration.ofMillis(100);

    private static final Duration CAUGHT_UP_LAG = Duration.ofMillis(25);

    private final Supplier<Duration> lagSource;
    private final RecentRequestCounts recentRequests;
    private final double maxQueueingShareOfLatencyTarget;
    private final int maxConnections;
    private final AtomicBoolean overloaded = new AtomicBoolean();

    LagAdmissionPolicy(
            Supplier<Duration> lagSource,
            RecentRequestCounts recentRequests,
            double maxQueueingShareOfLatencyTarget,
            int maxConnections) {
        this.lagSource = lagSource;
        this.recentRequests = recentRequests;
        this.maxQueueingShareOfLatencyTarget = maxQueueingShareOfLatencyTarget;
        this.maxConnections = maxConnections;
    }

    @Override
    public boolean admits(Duration latencyTarget, String sender) {
        recentRequests.record(sender);
        Duration lag = lagSource.get();
        return lag.toNanos() <= latencyTarget.toNanos() * maxQueueingShareOfLatencyTarget
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
