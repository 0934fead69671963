package org.sassafrastrail.runtime;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;

/** The threads that carry traffic. Their number follows the work, which the grants and the queues bound. */
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
        // Threads start with the first work.
    }

    /**
     * Runs a piece of traffic work.
     *
     * @param task the task
     * @return cancelling it interrupts the work
     */
    public Future<?> submit(Runnable task) {
        return executor.submit(task);
    }

    @Override
    public void stop() {
        executor.shutdownNow();
    }
}
