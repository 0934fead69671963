package org.sassafrastrail.durable;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;

/**
 * A local copy of a table that is kept up to date by polling its change feed. While the store is unavailable, peers are
 * asked for their copies. The copy is never replaced by an older version. One thread polls; snapshots from peers may be
 * applied on other threads.
 */
public final class WatchedTable {

    /** The version of a copy that has not been loaded yet. */
    public static final long NOT_LOADED = -1;

    private final ChangeFeed feed;
    private final Duration maximumWait;
    private final Consumer<Map<String, TableRow>> onChange;
    private final LongConsumer requestFromPeers;
    private final StoreAvailabilityListener listener;
    private final Map<String, TableRow> rows = new TreeMap<>();
    private long version = NOT_LOADED;
    private boolean available = true;

    /**
     * Creates a copy that is not loaded yet.
     *
     * @param feed the change feed of the table
     * @param maximumWait the longest time that one poll waits for a change
     * @param onChange receives all rows after each change
     * @param requestFromPeers asks peers for copies that are newer than the given version
     * @param listener is notified when the store becomes unavailable or available
     */
    public WatchedTable(
            ChangeFeed feed,
            Duration maximumWait,
            Consumer<Map<String, TableRow>> onChange,
            LongConsumer requestFromPeers,
            StoreAvailabilityListener listener) {
        this.feed = feed;
        this.maximumWait = maximumWait;
        this.onChange = onChange;
        this.requestFromPeers = requestFromPeers;
        this.listener = listener;
    }

    /**
     * The content of a copy at one moment.
     *
     * @param version the version of the store that it reflects
     * @param rows all rows
     */
    public record Snapshot(long version, List<TableRow> rows) {}

    /**
     * Returns the current content of the copy.
     *
     * @return a snapshot
     */
    public synchronized Snapshot snapshot() {
        return new Snapshot(version, List.copyOf(rows.values()));
    }

    /**
     * Polls the feed once for changes, or reads the whole table if it is not loaded yet.
     *
     * @return whether the store responded with rows
     */
    public boolean poll() {
        return poll(changes -> {});
    }

    /**
     * Polls the feed once for changes, or reads the whole table if it is not loaded yet.
     *
     * @param onRead receives what was read, also if nothing has changed
     * @return whether the store responded with rows
     */
    public boolean poll(Consumer<TableChanges> onRead) {
        long known = snapshot().version();
        ChangeFeedResult result = known == NOT_LOADED ? feed.readAll() : feed.changesSince(known, maximumWait);
        if (result instanceof ChangeFeedResult.Rows update) {
            readSucceeded(update);
            apply(update, known == NOT_LOADED);
            onRead.accept(new TableChanges(known, update.version(), update.rows()));
            return true;
        }
        if (result instanceof ChangeFeedResult.HistoryExpired) {
            return reload(onRead);
        }
        readFailed(((ChangeFeedResult.Unavailable) result).reason());
        return false;
    }

    private boolean reload(Consumer<TableChanges> onRead) {
        ChangeFeedResult result = feed.readAll();
        if (result instanceof ChangeFeedResult.Rows update) {
            readSucceeded(update);
            apply(update, true);
            onRead.accept(new TableChanges(NOT_LOADED, update.version(), update.rows()));
            return true;
        }
        readFailed("history expired");
        return false;
    }

    /**
     * Applies what another process read.
     *
     * @param changes what it read
     * @return whether the copy reflects the version up to which the other process read; false if that is older than the copy, or
     *     the copy lacks changes before those
     */
    public synchronized boolean apply(TableChanges changes) {
        boolean wholeTable = changes.fromVersion() == NOT_LOADED;
        boolean connects = wholeTable || version != NOT_LOADED && changes.fromVersion() <= version;
        if (!connects || changes.version() < version) {
            return false;
        }
        apply(new ChangeFeedResult.Rows(changes.rows(), changes.version()), wholeTable);
        return true;
    }

    private void readSucceeded(ChangeFeedResult.Rows update) {
        if (!available) {
            available = true;
            listener.storeAvailable(update.version());
        }
    }

    private void readFailed(String reason) {
        long known = snapshot().version();
        if (available) {
            available = false;
            listener.storeUnavailable(known, reason);
        }
        requestFromPeers.accept(known);
    }

    /**
     * Replaces the copy by a peer's snapshot if that is newer.
     *
     * @param snapshot the peer's snapshot
     * @return whether it was newer
     */
    public boolean replaceIfNewer(Snapshot snapshot) {
        return apply(new ChangeFeedResult.Rows(snapshot.rows(), snapshot.version()), true);
    }

    private synchronized boolean apply(ChangeFeedResult.Rows update, boolean fullRead) {
        if (update.version() < version || fullRead && update.version() == version) {
            return false;
        }
        Map<String, TableRow> before = fullRead ? Map.copyOf(rows) : Map.of();
        if (fullRead) {
            rows.clear();
        }
        update.rows().forEach(this::apply);
        boolean rowsChanged = fullRead
                ? version == NOT_LOADED || !versions(before).equals(versions(rows))
                : !update.rows().isEmpty();
        version = update.version();
        if (rowsChanged) {
            onChange.accept(Map.copyOf(rows));
        }
        return true;
    }

    /** Applies a row unless a newer version of it is known, as after a table that was read in several steps. */
    private void apply(TableRow row) {
        TableRow known = rows.get(row.key());
        if (known != null && known.version() > row.version()) {
            return;
        }
        if (row.value().isPresent()) {
            rows.put(row.key(), row);
        } else {
            rows.remove(row.key());
        }
    }

    private static Map<String, Long> versions(Map<String, TableRow> rows) {
        return rows.values().stream().collect(Collectors.toMap(TableRow::key, TableRow::version));
    }
}
