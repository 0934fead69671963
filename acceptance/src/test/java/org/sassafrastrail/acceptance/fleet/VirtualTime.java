package org.sassafrastrail.acceptance.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A queue of things to do at given times; time passes only from one to the next. */
public final class VirtualTime {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparing(Task::time).thenComparingLong(Task::number));
    private Instant now = Instant.parse("2026-12-04T00:00:00Z");
    private long numbers;

    /** Something to do at a time; the number keeps the order of tasks at the same time. */
    private record Task(Instant time, long number, Runnable work) {}

    public Instant now() {
        return now;
    }

    public void after(Duration wait, Runnable work) {
        tasks.add(new Task(now.plus(wait), numbers++, work));
    }

    /** Does the same again and again. */
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
