package org.sassafrastrail.runtime;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs a task again and again on a thread of its own, with the same wait after each run. */
public final class PeriodicTask implements Service {

    private final String name;
    private final Duration interval;
    private final Runnable task;
    private final EventLog log;
    private volatile ScheduledExecutorService scheduler;

    /**
     * Makes the task.
     *
     * @param name the name of its thread
     * @param interval the wait between two runs
     * @param task the task
     * @param log logs runs that failed
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
