package org.sassafrastrail.durable;

import java.util.Optional;

import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TrafficShare;

/** Stores the progress of version moves, one row for each move, written by compare-and-set. */
public final class MoveProgressStore {

    private final TableService table;

    /**
     * Creates the store.
     *
     * @param table the platform's table
     */
    public MoveProgressStore(TableService table) {
        this.table = table;
    }

    /**
     * The stored progress of a move with the version of its row.
     *
     * @param progress the last step
     * @param rowVersion the version of the row
     */
    public record VersionedProgress(MoveProgress progress, long rowVersion) {}

    /**
     * Reads the progress of a move.
     *
     * @param move the move
     * @return the last step, the start if none is stored; empty if the table could not be read
     */
    public Optional<VersionedProgress> read(MoveIdentifier move) {
        TableReadResult read = table.read(rowKey(move));
        if (read instanceof TableReadResult.Found found) {
            return Optional.of(new VersionedProgress(
                    parse(move, found.value()), found.version().number()));
        }
        return read instanceof TableReadResult.Absent
                ? Optional.of(new VersionedProgress(MoveProgress.start(move), TableService.ABSENT))
                : Optional.empty();
    }

    /**
     * Stores a step if the row still has the expected version.
     *
     * @param step the step
     * @param expectedRowVersion the version of the row that the step is based on
     * @return the step that is stored now, this one or a concurrent one; empty if the table could not be read
     */
    public Optional<VersionedProgress> compareAndSet(MoveProgress step, long expectedRowVersion) {
        TableWriteResult write = table.write(rowKey(step.move()), format(step), expectedRowVersion);
        return write instanceof TableWriteResult.Written written
                ? Optional.of(new VersionedProgress(step, written.version().number()))
                : read(step.move());
    }

    private static String rowKey(MoveIdentifier move) {
        return "move/" + move.label();
    }

    private static String format(MoveProgress step) {
        return step.fencingToken() + " " + step.stepNumber() + " "
                + step.share().perMille() + " " + step.verdict() + " " + step.reason();
    }

    private static MoveProgress parse(MoveIdentifier move, String text) {
        String[] fields = text.split(" ");
        int field = 0;
        return new MoveProgress(
                move,
                Long.parseLong(fields[field++]),
                Integer.parseInt(fields[field++]),
                new TrafficShare(Integer.parseInt(fields[field++])),
                MoveProgress.Verdict.valueOf(fields[field++]),
                MoveProgress.Reason.valueOf(fields[field]));
    }
}
