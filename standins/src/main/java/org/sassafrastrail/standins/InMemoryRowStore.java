package org.sassafrastrail.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** In-memory rows of the platform's store with conditional transactions, range reads and a history of changes. */
final class InMemoryRowStore {

    private final Map<RowKey, StoredRow> rows = new TreeMap<>();
    private final List<StoredRow> history = new ArrayList<>();
    private Snapshot lastCopy = new Snapshot(Map.of(), List.of(), 0);
    private long version;
    private long era;
    private long historyStartVersion;

    /** The primary key of a row. Rows are ordered by table, part and key. */
    record RowKey(String table, String part, String key) implements Comparable<RowKey> {

        @Override
        public int compareTo(RowKey other) {
            int byTable = table.compareTo(other.table);
            int byPart = byTable != 0 ? byTable : part.compareTo(other.part);
            return byPart != 0 ? byPart : key.compareTo(other.key);
        }
    }

    /** A version of a row, or a tombstone if the row was removed. */
    record StoredRow(RowKey rowKey, String value, long version, boolean removed) {}

    /** The content at one moment, from which the store can be restored. */
    private record Snapshot(Map<RowKey, StoredRow> rows, List<StoredRow> history, long version) {}

    /** Requires a row to have the given version; version 0 requires that the row does not exist. */
    record VersionCondition(RowKey rowKey, long version) {}

    /** A consistent set of rows, and the store version and era at which they were read. */
    record ReadResult(List<StoredRow> rows, long version, long era) {}

    synchronized boolean applyTransaction(
            List<VersionCondition> conditions, Map<RowKey, String> writes, List<RowKey> removals) {
        boolean conditionsHold =
                conditions.stream().allMatch(condition -> versionOf(condition.rowKey()) == condition.version());
        if (!conditionsHold) {
            return false;
        }
        version++;
        writes.forEach((rowKey, value) -> applyRow(new StoredRow(rowKey, value, version, false)));
        removals.forEach(rowKey -> applyRow(new StoredRow(rowKey, null, version, true)));
        notifyAll();
        return true;
    }

    private void applyRow(StoredRow row) {
        if (row.removed()) {
            rows.remove(row.rowKey());
        } else {
            rows.put(row.rowKey(), row);
        }
        history.add(row);
    }

    private long versionOf(RowKey rowKey) {
        StoredRow row = rows.get(rowKey);
        return row == null ? 0 : row.version();
    }

    synchronized List<StoredRow> currentRows(List<VersionCondition> conditions) {
        return conditions.stream()
                .map(condition -> rows.get(condition.rowKey()))
                .filter(row -> row != null)
                .toList();
    }

    synchronized ReadResult readRange(String table, String part, String from, String to, int limit) {
        List<StoredRow> matching = rows.values().stream()
                .filter(row -> row.rowKey().table().equals(table)
                        && row.rowKey().part().equals(part))
                .filter(row -> row.rowKey().key().compareTo(from) >= 0)
                .filter(row -> to.isEmpty() || row.rowKey().key().compareTo(to) < 0)
                .limit(limit)
                .toList();
        return new ReadResult(matching, version, era);
    }

    /**
     * Waits for changes of the table that are newer than the given version. Returns an empty result on a timeout, and
     * null if the history no longer reaches back to that version or the store doesn't have it.
     */
    synchronized ReadResult awaitChanges(String table, long afterVersion, long waitMilliseconds)
            throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMilliseconds);
        while (true) {
            if (afterVersion < historyStartVersion || afterVersion > version) {
                return null;
            }
            List<StoredRow> matching = history.stream()
                    .filter(row ->
                            row.version() > afterVersion && row.rowKey().table().equals(table))
                    .toList();
            long remaining = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            if (!matching.isEmpty() || remaining <= 0) {
                return new ReadResult(matching, version, era);
            }
            wait(remaining);
        }
    }

    /** Copies the content, from which the store can be restored. */
    synchronized void copy() {
        lastCopy = new Snapshot(Map.copyOf(rows), List.copyOf(history), version);
    }

    /** Replaces the content by the last copy and begins a new era. The versions since the copy are issued again. */
    synchronized void restore() {
        rows.clear();
        rows.putAll(lastCopy.rows());
        history.clear();
        history.addAll(lastCopy.history());
        version = lastCopy.version();
        era++;
        notifyAll();
    }

    synchronized long era() {
        return era;
    }

    synchronized void discardHistory() {
        history.clear();
        historyStartVersion = version;
    }
}
