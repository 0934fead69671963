package org.sassafrastrail.decision;

import java.time.Duration;
import java.time.Instant;

/**
 * The lifecycle of a node: whether it is stopping, and when it last ran each of its periodic tasks.
 *
 * @param stopping whether the node accepts no new work
 * @param lastTick the time of the last tick
 * @param lastLedgerUpdate when the node last sent ledger updates to its peers
 * @param lastHeartbeat when the node last sent a heartbeat
 */
public record Lifecycle(boolean stopping, Instant lastTick, Instant lastLedgerUpdate, Instant lastHeartbeat) {

    /**
     * Creates the lifecycle of a node that is starting.
     *
     * @param now the time
     * @return the lifecycle of a node that accepts work
     */
    public static Lifecycle start(Instant now) {
        return new Lifecycle(false, now, now, now);
    }

    /**
     * Marks the node as stopping.
     *
     * @return the lifecycle
     */
    public Lifecycle withStopping() {
        return new Lifecycle(true, lastTick, lastLedgerUpdate, lastHeartbeat);
    }

    /**
     * Records a tick.
     *
     * @param now the time
     * @return the lifecycle
     */
    public Lifecycle withTick(Instant now) {
        return new Lifecycle(stopping, now, lastLedgerUpdate, lastHeartbeat);
    }

    /**
     * Records that ledger updates were sent.
     *
     * @param now the time
     * @return the lifecycle
     */
    public Lifecycle withLedgerUpdate(Instant now) {
        return new Lifecycle(stopping, lastTick, now, lastHeartbeat);
    }

    /**
     * Records a heartbeat.
     *
     * @param now the time
     * @return the lifecycle
     */
    public Lifecycle withHeartbeat(Instant now) {
        return new Lifecycle(stopping, lastTick, lastLedgerUpdate, now);
    }

    /**
     * Returns whether the process was paused since its last tick.
     *
     * @param now the time
     * @param pause a gap longer than any between two ticks of a running process
     * @return whether the time since the last tick exceeds the gap
     */
    public boolean wasPaused(Instant now, Duration pause) {
        return Duration.between(lastTick, now).compareTo(pause) > 0;
    }

    /**
     * Returns whether the next ledger update is due.
     *
     * @param now the time
     * @param interval the interval of ledger updates
     * @return whether the interval has passed
     */
    public boolean isLedgerUpdateDue(Instant now, Duration interval) {
        return Duration.between(lastLedgerUpdate, now).compareTo(interval) >= 0;
    }

    /**
     * Returns whether the next heartbeat is due.
     *
     * @param now the time
     * @param interval the interval of heartbeats
     * @return whether the interval has passed
     */
    public boolean isHeartbeatDue(Instant now, Duration interval) {
        return Duration.between(lastHeartbeat, now).compareTo(interval) >= 0;
    }
}
