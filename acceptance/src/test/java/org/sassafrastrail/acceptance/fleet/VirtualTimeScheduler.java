package org.sassafrastrail.acceptance.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs scheduled tasks in virtual time, which advances from the time of one task to that of the next. */
public final class VirtualTimeScheduler {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparing(Task::time).thenComparingLong(Task::sequence));
    private Instant now = Instant.parse("2026-12-04T00:00:00Z");
    private long nextSequence;

    /** A scheduled task; tasks for the same time run in the order of their sequence numbers. */
    private record Task(Instant time, long sequence, Runnable work) {}

    public Instant now() {
        return now;
    }

    public void after(Duration delay, Runnable work) {
        tasks.add(new Task(now.plus(delay), nextSequence++, work));
    }

    /** Schedules a periodic task; the first run is after one interval. */
    public void every(Duration interval, Runnable work) {
        after(interval, () -> {
            work.run();
            every(interval, work);
        });
    }

    public void runFor(Duration span) {
        Instant end = now.plus(span);
        while (!tasks.isEmpty() && !tasks.peek().time().isAfter(end)) {
            Task task = tasks.poll();
            now = task.time();
            task.work().run();
        }
        now = end;
    }
}
