package org.sassafrastrail.standins;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** Reports a load as it was some time ago. */
final class LaggingLoad {

    private final Clock clock;
    private final Duration lag;
    private final Deque<Sample> samples = new ArrayDeque<>();

    LaggingLoad(Clock clock, Duration lag) {
        this.clock = clock;
        this.lag = lag;
        samples.add(new Sample(Instant.MIN, 0, true));
    }

    /** The load at one time. */
    record Sample(Instant time, int running, boolean cold) {}

    synchronized void note(int running, boolean cold) {
        samples.addLast(new Sample(clock.instant(), running, cold));
    }

    synchronized Sample report() {
        Instant then = clock.instant().minus(lag);
        Sample last = samples.peekFirst();
        while (samples.size() > 1 && !last.time().isAfter(then)) {
            Sample first = samples.pollFirst();
            if (samples.peekFirst().time().isAfter(then)) {
                samples.addFirst(first);
                return first;
            }
            last = samples.peekFirst();
        }
        return last;
    }
}
