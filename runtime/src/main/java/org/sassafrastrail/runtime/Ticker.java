package org.sassafrastrail.runtime;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Tells a control thread that time passes: often while there is work, and rarely while there is none. */
public final class Ticker implements Service {

    private static final int IDLE_FACTOR = 5;

    private final PeriodicTask task;
    private final BooleanSupplier busy;
    private final Runnable tick;
    private int skippedTicks;

    /**
     * Makes the ticker.
     *
     * @param interval the wait between two ticks while there is work; five times as long while there is none
     * @param busy tells whether there is work
     * @param tick tells the control thread
     * @param log logs ticks that failed
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
