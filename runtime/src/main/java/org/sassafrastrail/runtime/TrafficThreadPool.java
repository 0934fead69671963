package org.sassafrastrail.runtime;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;

/** The threads that carry traffic. Their number follows the work, which the grants and the queues bound. */
public final class TrafficThreadPool implements Service {

    private final AtomicLong numbers = new AtomicLong();
    private final ExecutorService threads = Executors.newCachedThreadPool(this::thread);

    private Thread thread(Runnable runnable) {
        Thread thread = new Thread(runnable, "traffic-" + numbers.incrementAndGet());
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
     * @param work the work
     * @return cancelling it interrupts the work
     */
    public Future<?> submit(Runnable work) {
        return threads.submit(work);
    }

    @Override
    public void stop() {
        threads.shutdownNow();
    }
}
