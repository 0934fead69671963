package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;

/** How far a thread is behind: how long a task that is handed to it waits until it runs. */
final class ThreadLag {

    private final Executor thread;
    private final Clock clock;
    private final AtomicReference<Instant> pendingSince = new AtomicReference<>();
    private volatile Duration lastDelay = Duration.ZERO;

    ThreadLag(Executor thread, Clock clock) {
        this.thread = thread;
        this.clock = clock;
    }

    /** Hands the thread a task, unless the last one still waits. */
    void probe() {
        Instant now = clock.instant();
        if (pendingSince.compareAndSet(null, now)) {
            thread.execute(() -> {
                lastDelay = Duration.between(now, clock.instant());
                pendingSince.set(null);
            });
        }
    }

    /** Returns how long the last task waited, or the one that waits now if that is longer. */
    Duration lag() {
        Instant since = pendingSince.get();
        Duration pending = since == null ? Duration.ZERO : Duration.between(since, clock.instant());
        return Collections.max(List.of(pending, lastDelay));
    }
}
