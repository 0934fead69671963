package org.sassafrastrail.runtime;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Triggers the control thread's periodic tick at a short interval while there is work and a longer one while idle. */
public final class Ticker implements Service {

    private static final int IDLE_FACTOR = 5;

    private final PeriodicTask task;
    private final BooleanSupplier busy;
    private final Runnable tick;
    private int skippedTicks;

    /**
     * Creates a ticker.
     *
     * @param interval the delay between two ticks while there is work; it is five times as long while idle
     * @param busy whether there is work
     * @param tick runs on each tick, usually posts an event to the control thread
     * @param log receives an event for each failed tick
     */
    public Ticker(Duration interval, BooleanSupplier busy, Runnable tick, EventLog log) {
        this.task = new PeriodicTask("tick", interval, this::run, log);
        this.busy = busy;
        this.tick = tick;
    }

    @Override
    public void start() {
        task.start();
    }

    @Override
    public void stop() {
        task.stop();
    }

    private void run() {
        skippedTicks++;
        if (busy.getAsBoolean() || skippedTicks >= IDLE_FACTOR) {
            skippedTicks = 0;
            tick.run();
        }
    }
}
