package org.sassafrastrail.acceptance.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;

import org.sassafrastrail.durable.TableReadResult;
import org.sassafrastrail.durable.TableService;
import org.sassafrastrail.durable.TableWriteResult;

/** The platform's table in memory; it can be out, and lose answers after a write has taken effect. */
public final class VirtualTable implements TableService {

    private final Map<String, TableReadResult.Found> rows = new HashMap<>();
    private boolean out;
    private int answersToLose;

    public void out(boolean next) {
        out = next;
    }

    public void loseAnswers(int next) {
        answersToLose = next;
    }

    @Override
    public TableReadResult read(String key) {
        if (out) {
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

    private TableWriteResult change(String key, long expectedVersion, LongConsumer effect) {
        if (out) {
            return new TableWriteResult.Unavailable();
        }
        long present = rows.containsKey(key) ? rows.get(key).version() : ABSENT;
        if (present != expectedVersion) {
            return new TableWriteResult.Conflict();
        }
        effect.accept(present + 1);
        if (answersToLose > 0) {
            answersToLose--;
            return new TableWriteResult.Unavailable();
        }
        return new TableWriteResult.Written(present + 1);
    }
}
