package org.sassafrastrail.standins;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** Records load samples and reports the load as of a fixed delay ago. */
final class DelayedLoadReport {

    private final Clock clock;
    private final Duration lag;
    private final Deque<Sample> samples = new ArrayDeque<>();

    DelayedLoadReport(Clock clock, Duration lag) {
        this.clock = clock;
        this.lag = lag;
        samples.add(new Sample(Instant.MIN, 0, true));
    }

    /** The number of running requests and the cold state at one point in time. */
    record Sample(Instant time, int running, boolean cold) {}

    synchronized void addSample(int running, boolean cold) {
        samples.addLast(new Sample(clock.instant(), running, cold));
    }

    synchronized Sample delayedSample() {
        Instant reportedTime = clock.instant().minus(lag);
        Sample latest = samples.peekFirst();
        while (samples.size() > 1 && !latest.time().isAfter(reportedTime)) {
            Sample oldest = samples.pollFirst();
            if (samples.peekFirst().time().isAfter(reportedTime)) {
                samples.addFirst(oldest);
                return oldest;
            }
            latest = samples.peekFirst();
        }
        return latest;
    }
}
