package org.sassafrastrail.runtime;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs a task periodically on its own thread with a fixed delay between runs. A failed run does not end the task. */
public final class PeriodicTask implements Service {

    private final String name;
    private final Duration interval;
    private final Runnable task;
    private final EventLog log;
    private volatile ScheduledExecutorService scheduler;

    /**
     * Creates a periodic task.
     *
     * @param name the name of the task and its thread
     * @param interval the delay between the end of a run and the start of the next
     * @param task the code to run
     * @param log receives an event for each failed run
     */
    public PeriodicTask(String name, Duration interval, Runnable task, EventLog log) {
        this.name = name;
        this.interval = interval;
        this.task = task;
        this.log = log;
    }

    @Override
    public void start() {
        scheduler = Executors.newSingleThreadScheduledExecutor(runnable -> {
            Thread thread = new Thread(runnable, name);
            thread.setDaemon(true);
            return thread;
        });
        scheduler.scheduleWithFixedDelay(this::run, 0, interval.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void run() {
        try {
            task.run();
        } catch (RuntimeException | Error fault) {
            log.error("periodic-task-fault", fault, LogField.of("task", name));
        }
    }

    @Override
    public void stop() {
        if (scheduler != null) {
            scheduler.shutdownNow();
        }
    }
}
