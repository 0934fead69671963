package org.sassafrastrail.acceptance.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;

import org.sassafrastrail.durable.TableRead;
import org.sassafrastrail.durable.TableService;
import org.sassafrastrail.durable.TableWrite;

/** The platform's table in memory; it can be out, and lose answers after a write has taken effect. */
public final class VirtualTable implements TableService {

    private final Map<String, TableRead.Found> rows = new HashMap<>();
    private boolean out;
    private int answersToLose;

    public void out(boolean next) {
        out = next;
    }

    public void loseAnswers(int next) {
        answersToLose = next;
    }

    @Override
    public TableRead read(String key) {
        if (out) {
            return new TableRead.Unavailable();
        }
        TableRead.Found row = rows.get(key);
        return row == null ? new TableRead.Absent() : row;
    }

    @Override
    public TableWrite write(String key, String value, long expectedVersion) {
        return change(key, expectedVersion, version -> rows.put(key, new TableRead.Found(value, version)));
    }

    @Override
    public TableWrite delete(String key, long expectedVersion) {
        return change(key, expectedVersion, version -> rows.remove(key));
    }

    private TableWrite change(String key, long expectedVersion, LongConsumer effect) {
        if (out) {
            return new TableWrite.Unavailable();
        }
        long present = rows.containsKey(key) ? rows.get(key).version() : ABSENT;
        if (present != expectedVersion) {
            return new TableWrite.Conflict();
        }
        effect.accept(present + 1);
        if (answersToLose > 0) {
            answersToLose--;
            return new TableWrite.Unavailable();
        }
        return new TableWrite.Written(present + 1);
    }
}
