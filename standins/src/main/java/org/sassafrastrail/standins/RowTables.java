package org.sassafrastrail.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** The rows of the platform's store: transactions under conditions, ranges, and the changes since a version. */
final class RowTables {

    private final Map<Place, StoredRow> rows = new TreeMap<>();
    private final List<StoredRow> history = new ArrayList<>();
    private long version;
    private long historyFrom;

    /** Where a row lies. */
    record Place(String table, String part, String key) implements Comparable<Place> {

        @Override
        public int compareTo(Place other) {
            int byTable = table.compareTo(other.table);
            int byPart = byTable != 0 ? byTable : part.compareTo(other.part);
            return byPart != 0 ? byPart : key.compareTo(other.key);
        }
    }

    /** A row, or the note that it was removed. */
    record StoredRow(Place place, String value, long version, boolean removed) {}

    /** A condition on a row: its version, 0 if it must not exist. */
    record Condition(Place place, long version) {}

    /** What a read found, as of one moment. */
    record Found(List<StoredRow> rows, long version) {}

    synchronized boolean change(List<Condition> conditions, Map<Place, String> writes, List<Place> removals) {
        boolean holds = conditions.stream().allMatch(condition -> versionOf(condition.place()) == condition.version());
        if (!holds) {
            return false;
        }
        version++;
        writes.forEach((place, value) -> note(new StoredRow(place, value, version, false)));
        removals.forEach(place -> note(new StoredRow(place, null, version, true)));
        notifyAll();
        return true;
    }

    private void note(StoredRow row) {
        if (row.removed()) {
            rows.remove(row.place());
        } else {
            rows.put(row.place(), row);
        }
        history.add(row);
    }

    private long versionOf(Place place) {
        StoredRow row = rows.get(place);
        return row == null ? 0 : row.version();
    }

    synchronized List<StoredRow> present(List<Condition> conditions) {
        return conditions.stream()
                .map(condition -> rows.get(condition.place()))
                .filter(row -> row != null)
                .toList();
    }

    synchronized Found range(String table, String part, String from, String to, int limit) {
        List<StoredRow> found = rows.values().stream()
                .filter(row ->
                        row.place().table().equals(table) && row.place().part().equals(part))
                .filter(row -> row.place().key().compareTo(from) >= 0)
                .filter(row -> to.isEmpty() || row.place().key().compareTo(to) < 0)
                .limit(limit)
                .toList();
        return new Found(found, version);
    }

    /** Waits for a change of the table after the version; null if the changes since then are forgotten. */
    synchronized Found changes(String table, long after, long waitMilliseconds) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMilliseconds);
        while (true) {
            if (after < historyFrom) {
                return null;
            }
            List<StoredRow> found = history.stream()
                    .filter(row -> row.version() > after && row.place().table().equals(table))
                    .toList();
            long left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
            if (!found.isEmpty() || left <= 0) {
                return new Found(found, version);
            }
            wait(left);
        }
    }

    synchronized void forgetHistory() {
        history.clear();
        historyFrom = version;
    }
}
