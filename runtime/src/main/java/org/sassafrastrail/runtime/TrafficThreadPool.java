package org.sassafrastrail.runtime;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The thread pool for traffic. It has no size limit of its own: grants and queue limits bound the number of concurrent
 * tasks.
 */
public final class TrafficThreadPool implements Service {

    private final AtomicLong threadCount = new AtomicLong();
    private final ExecutorService executor = Executors.newCachedThreadPool(this::newThread);

    private Thread newThread(Runnable runnable) {
        Thread thread = new Thread(runnable, "traffic-" + threadCount.incrementAndGet());
        thread.setDaemon(true);
        return thread;
    }

    @Override
    public void start() {
        // The pool creates threads on demand.
    }

    /**
     * Runs a task on a thread of the pool.
     *
     * @param task the task
     * @return the task's future; cancelling it interrupts the task
     */
    public Future<?> submit(Runnable task) {
        return executor.submit(task);
    }

    @Override
    public void stop() {
        executor.shutdownNow();
    }
}
