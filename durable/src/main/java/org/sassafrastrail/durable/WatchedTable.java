package org.sassafrastrail.durable;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * A local copy of a table that is kept up to date by polling its change feed. While the store is unavailable, peers are
 * asked for their copies. The copy is never replaced by an older version, nor by one of an earlier era. In a new era the
 * whole table is read again. One thread polls; snapshots from peers may be applied on other threads.
 */
public final class WatchedTable {

    /** The version of a copy that has not been loaded yet. */
    public static final StoreVersion NOT_LOADED = new StoreVersion(0, -1);

    private final ChangeFeed feed;
    private final Duration maximumWait;
    private final Consumer<Map<String, TableRow>> onChange;
    private final Consumer<StoreVersion> requestFromPeers;
    private final StoreAvailabilityListener listener;
    private final Map<String, TableRow> rows = new TreeMap<>();
    private StoreVersion version = NOT_LOADED;
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
            Consumer<StoreVersion> requestFromPeers,
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
    public record Snapshot(StoreVersion version, List<TableRow> rows) {}

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
        StoreVersion known = snapshot().version();
        if (known.equals(NOT_LOADED)) {
            return reload(onRead);
        }
        ChangeFeedResult result = feed.changesSince(known, maximumWait);
        if (result instanceof ChangeFeedResult.Rows update) {
            return update.version().era() == known.era() ? readSucceeded(known, update, onRead) : reload(onRead);
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
            return readSucceeded(NOT_LOADED, update, onRead);
        }
        readFailed(
                result instanceof ChangeFeedResult.Unavailable unavailable ? unavailable.reason() : "history expired");
        return false;
    }

    /** Applies what the store returned, unless a peer told of a later era in the meantime. */
    private boolean readSucceeded(StoreVersion from, ChangeFeedResult.Rows update, Consumer<TableChanges> onRead) {
        if (!available) {
            available = true;
            listener.storeAvailable(update.version());
        }
        TableChanges changes = new TableChanges(from, update.version(), update.rows());
        apply(changes);
        boolean current = update.version().era() == snapshot().version().era();
        if (current) {
            onRead.accept(changes);
        }
        return current;
    }

    /**
     * Applies what another process read.
     *
     * @param changes what it read
     * @return whether the copy reflects the version up to which the other process read; false if that is older than the copy, or
     *     the copy lacks changes before those
     */
    public synchronized boolean apply(TableChanges changes) {
        boolean wholeTable = changes.fromVersion().equals(NOT_LOADED);
        if (changes.version().isBefore(version) || !wholeTable && !connects(changes)) {
            return false;
        }
        apply(new ChangeFeedResult.Rows(changes.rows(), changes.version()), wholeTable);
        return true;
    }

    /** Returns whether changes continue this copy. Changes of an era do not continue a copy of another one. */
    private boolean connects(TableChanges changes) {
        return !version.equals(NOT_LOADED)
                && version.era() == changes.version().era()
                && !version.isBefore(changes.fromVersion());
    }

    private void readFailed(String reason) {
        StoreVersion known = snapshot().version();
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
        if (update.version().isBefore(version) || fullRead && update.version().equals(version)) {
            return false;
        }
        Map<String, TableRow> rowsBefore = fullRead ? Map.copyOf(rows) : Map.of();
        if (fullRead) {
            rows.clear();
        }
        update.rows().forEach(this::apply);
        boolean rowsChanged = fullRead
                ? version.equals(NOT_LOADED) || !versions(rowsBefore).equals(versions(rows))
                : !update.rows().isEmpty();
        StoreVersion before = version;
        version = update.version();
        if (!before.equals(NOT_LOADED) && before.era() < version.era()) {
            listener.storeRestored(before, version);
        }
        if (rowsChanged) {
            onChange.accept(Map.copyOf(rows));
        }
        return true;
    }

    /** Applies a row unless a newer version of it is known, as after a table that was read in several steps. */
    private void apply(TableRow row) {
        TableRow known = rows.get(row.key());
        if (known != null && row.version().isBefore(known.version())) {
            return;
        }
        if (row.value().isPresent()) {
            rows.put(row.key(), row);
        } else {
            rows.remove(row.key());
        }
    }

    private static Map<String, StoreVersion> versions(Map<String, TableRow> rows) {
        return rows.values().stream().collect(Collectors.toMap(TableRow::key, TableRow::version));
    }
}
