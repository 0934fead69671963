package org.sassafrastrail.acceptance.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;

import org.sassafrastrail.durable.StoreVersion;
import org.sassafrastrail.durable.TableReadResult;
import org.sassafrastrail.durable.TableService;
import org.sassafrastrail.durable.TableWriteResult;

/** In-memory platform table that can be unavailable, lose the response to a write that has taken effect, and be restored. */
public final class InMemoryTable implements TableService {

    private final Map<String, TableReadResult.Found> rows = new HashMap<>();
    private Map<String, TableReadResult.Found> copy = Map.of();
    private long era;
    private boolean unavailable;
    private int responsesToLose;

    public void setUnavailable(boolean value) {
        unavailable = value;
    }

    public void loseResponses(int value) {
        responsesToLose = value;
    }

    /** Copies the rows, from which the table can be restored. */
    public void copy() {
        copy = Map.copyOf(rows);
    }

    /** Replaces the rows by their last copy, in a new era. */
    public void restore() {
        era++;
        rows.clear();
        copy.forEach((key, row) -> rows.put(
                key,
                new TableReadResult.Found(
                        row.value(), new StoreVersion(era, row.version().number()))));
    }

    @Override
    public TableReadResult read(String key) {
        if (unavailable) {
            return new TableReadResult.Unavailable();
        }
        TableReadResult.Found row = rows.get(key);
        return row == null ? new TableReadResult.Absent(era) : row;
    }

    @Override
    public TableWriteResult write(String key, String value, long expectedVersion) {
        return change(
                key,
                expectedVersion,
                version -> rows.put(key, new TableReadResult.Found(value, new StoreVersion(era, version))));
    }

    @Override
    public TableWriteResult delete(String key, long expectedVersion) {
        return change(key, expectedVersion, version -> rows.remove(key));
    }

    private TableWriteResult change(String key, long expectedVersion, LongConsumer update) {
        if (unavailable) {
            return new TableWriteResult.Unavailable();
        }
        long currentVersion = rows.containsKey(key) ? rows.get(key).version().number() : ABSENT;
        if (currentVersion != expectedVersion) {
            return new TableWriteResult.Conflict();
        }
        update.accept(currentVersion + 1);
        if (responsesToLose > 0) {
            responsesToLose--;
            return new TableWriteResult.Unavailable();
        }
        return new TableWriteResult.Written(new StoreVersion(era, currentVersion + 1));
    }
}
