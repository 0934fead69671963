package org.sassafrastrail.decision;

import java.time.Duration;
import java.time.Instant;

/**
 * Whether a node takes new work, and when it last did what comes again and again.
 *
 * @param stopping whether it takes no new work
 * @param lastTick the last tick
 * @param lastLedgerUpdate when ledger entries were last shared
 * @param lastHeartbeat when the node last said that it is alive
 */
public record Lifecycle(boolean stopping, Instant lastTick, Instant lastLedgerUpdate, Instant lastHeartbeat) {

    /**
     * Starts a node.
     *
     * @param now the time
     * @return a node that takes work
     */
    public static Lifecycle start(Instant now) {
        return new Lifecycle(false, now, now, now);
    }

    /**
     * Stops taking new work.
     *
     * @return the lifecycle
     */
    public Lifecycle withStopping() {
        return new Lifecycle(true, lastTick, lastLedgerUpdate, lastHeartbeat);
    }

    /**
     * Notes a tick.
     *
     * @param now the time
     * @return the lifecycle
     */
    public Lifecycle withTick(Instant now) {
        return new Lifecycle(stopping, now, lastLedgerUpdate, lastHeartbeat);
    }

    /**
     * Notes that entries were shared.
     *
     * @param now the time
     * @return the lifecycle
     */
    public Lifecycle withLedgerUpdate(Instant now) {
        return new Lifecycle(stopping, lastTick, now, lastHeartbeat);
    }

    /**
     * Notes a heartbeat.
     *
     * @param now the time
     * @return the lifecycle
     */
    public Lifecycle withHeartbeat(Instant now) {
        return new Lifecycle(stopping, lastTick, lastLedgerUpdate, now);
    }

    /**
     * Tells whether the node was frozen since its last tick.
     *
     * @param now the time
     * @param pause a longer gap than any between two ticks of a running process
     * @return whether the gap is longer
     */
    public boolean wasPaused(Instant now, Duration pause) {
        return Duration.between(lastTick, now).compareTo(pause) > 0;
    }

    /**
     * Tells whether it is time to share entries.
     *
     * @param now the time
     * @param interval how often they are shared
     * @return whether the interval has passed
     */
    public boolean isLedgerUpdateDue(Instant now, Duration interval) {
        return Duration.between(lastLedgerUpdate, now).compareTo(interval) >= 0;
    }

    /**
     * Tells whether it is time for a heartbeat.
     *
     * @param now the time
     * @param interval how often heartbeats are sent
     * @return whether the interval has passed
     */
    public boolean isHeartbeatDue(Instant now, Duration interval) {
        return Duration.between(lastHeartbeat, now).compareTo(interval) >= 0;
    }
}
