package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;

/** Measures the lag of a thread: how long a task that is submitted to it waits until it runs. */
final class ThreadLag {

    private final Executor thread;
    private final Clock clock;
    private final AtomicReference<Instant> pendingSince = new AtomicReference<>();
    private volatile Duration lastDelay = Duration.ZERO;

    ThreadLag(Executor thread, Clock clock) {
        this.thread = thread;
        this.clock = clock;
    }

    /** Submits a task to the thread, unless the last one is still waiting. */
    void probe() {
        Instant now = clock.instant();
        if (pendingSince.compareAndSet(null, now)) {
            thread.execute(() -> {
                lastDelay = Duration.between(now, clock.instant());
                pendingSince.set(null);
            });
        }
    }

    /** Returns the waiting time of the last task that ran, or of the task that is still waiting if that is longer. */
    Duration lag() {
        Instant since = pendingSince.get();
        Duration pending = since == null ? Duration.ZERO : Duration.between(since, clock.instant());
        return Collections.max(List.of(pending, lastDelay));
    }
}
