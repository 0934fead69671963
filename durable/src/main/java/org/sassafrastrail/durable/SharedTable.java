package org.sassafrastrail.durable;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/**
 * Keeps a {@link WatchedTable} up to date in one of two ways. A watcher polls the store and tells the others what it read. The
 * others apply that, and poll by themselves when they have heard nothing recent enough: the watchers may be down, paused or cut
 * off from the store. A wrong view of who watches costs calls of the store, not freshness.
 */
public final class SharedTable {

    /** Keeps the processes that lost their watchers from calling the store all at once. */
    private static final int MAX_JITTER_MILLISECONDS = 150;

    /** A poll that took longer than its wait by this time says nothing about the present: this process was paused. */
    private static final Duration MAX_POLL_OVERTIME = Duration.ofMillis(100);

    private final WatchedTable table;
    private final Duration maximumWait;
    private final WatcherSelection selection;
    private final TablePublisher publisher;
    private final Duration maximumAge;
    private final Clock clock;
    private Instant currentAt = Instant.MIN;

    /**
     * Creates the shared form of a table.
     *
     * @param table the local copy
     * @param maximumWait the longest time that one poll of it waits for a change
     * @param maximumAge how old the copy may get by what watchers tell, longer than the time between two of their polls
     * @param selection tells whether this process polls for others
     * @param publisher tells the others what was read
     * @param node the name of this process, from which its jitter follows
     * @param clock a monotonic clock
     */
    public SharedTable(
            WatchedTable table,
            Duration maximumWait,
            Duration maximumAge,
            WatcherSelection selection,
            TablePublisher publisher,
            String node,
            Clock clock) {
        this.table = table;
        this.maximumWait = maximumWait;
        this.selection = selection;
        this.publisher = publisher;
        this.maximumAge = maximumAge.plusMillis(Math.floorMod(node.hashCode(), MAX_JITTER_MILLISECONDS));
        this.clock = clock;
    }

    /**
     * Polls the store if this process is a watcher or has heard nothing recent from one.
     *
     * @return whether this process read the table from the store
     */
    public boolean poll() {
        boolean watcher = selection.isWatcher();
        if (!watcher && isCurrent()) {
            return false;
        }
        Instant started = clock.instant();
        boolean read = table.poll(watcher ? changes -> publishIfRecent(changes, started) : changes -> {});
        if (read) {
            confirm(started);
        }
        return read;
    }

    /**
     * Returns the current content of the local copy.
     *
     * @return a snapshot
     */
    public WatchedTable.Snapshot snapshot() {
        return table.snapshot();
    }

    private void publishIfRecent(TableChanges changes, Instant started) {
        Duration took = Duration.between(started, clock.instant());
        if (took.compareTo(maximumWait.plus(MAX_POLL_OVERTIME)) <= 0) {
            publisher.publish(changes);
        }
    }

    private synchronized boolean isCurrent() {
        return clock.instant().isBefore(currentAt.plus(maximumAge));
    }

    private synchronized void confirm(Instant at) {
        currentAt = at.isAfter(currentAt) ? at : currentAt;
    }

    /**
     * Applies what a watcher read.
     *
     * @param changes what it read
     * @return whether the local copy is now as recent; otherwise it lacks changes from before, or is ahead of the watcher
     */
    public boolean follow(TableChanges changes) {
        boolean applied = table.apply(changes);
        if (applied) {
            confirm(clock.instant());
        }
        return applied;
    }
}
