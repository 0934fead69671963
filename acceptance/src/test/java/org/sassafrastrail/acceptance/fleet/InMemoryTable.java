package org.sassafrastrail.acceptance.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;

import org.sassafrastrail.durable.StoreVersion;
import org.sassafrastrail.durable.TableReadResult;
import org.sassafrastrail.durable.TableService;
import org.sassafrastrail.durable.TableWriteResult;

/** In-memory platform table that can be unavailable, and can lose the response to a write that has taken effect. */
public final class InMemoryTable implements TableService {

    private final Map<String, TableReadResult.Found> rows = new HashMap<>();
    private boolean unavailable;
    private int responsesToLose;

    public void setUnavailable(boolean value) {
        unavailable = value;
    }

    public void loseResponses(int value) {
        responsesToLose = value;
    }

    @Override
    public TableReadResult read(String key) {
        if (unavailable) {
            return new TableReadResult.Unavailable();
        }
        TableReadResult.Found row = rows.get(key);
        return row == null ? new TableReadResult.Absent() : row;
    }

    @Override
    public TableWriteResult write(String key, String value, long expectedVersion) {
        return change(key, expectedVersion, version -> rows.put(key, new TableReadResult.Found(value, version)));
    }

    @Override
    public TableWriteResult delete(String key, long expectedVersion) {
        return change(key, expectedVersion, version -> rows.remove(key));
    }

    private TableWriteResult change(String key, long expectedVersion, LongConsumer update) {
        if (unavailable) {
            return new TableWriteResult.Unavailable();
        }
        long currentVersion = rows.containsKey(key) ? rows.get(key).version() : ABSENT;
        if (currentVersion != expectedVersion) {
            return new TableWriteResult.Conflict();
        }
        update.accept(currentVersion + 1);
        if (responsesToLose > 0) {
            responsesToLose--;
            return new TableWriteResult.Unavailable();
        }
        return new TableWriteResult.Written(new StoreVersion(0, currentVersion + 1));
    }
}
