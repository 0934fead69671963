package org.sassafrastrail.durable;

import java.util.Optional;

import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TrafficShare;

/** The recorded steps of version moves, one row for each move, written by compare-and-set. */
public final class MoveProgressStore {

    private final TableService table;

    /**
     * Makes the records.
     *
     * @param table the platform's table
     */
    public MoveProgressStore(TableService table) {
        this.table = table;
    }

    /**
     * A step as the table holds it.
     *
     * @param progress the step
     * @param rowVersion the version of its row
     */
    public record VersionedProgress(MoveProgress progress, long rowVersion) {}

    /**
     * Reads how a move stands.
     *
     * @param move the move
     * @return the last step, the start if there is none; empty if the table did not answer
     */
    public Optional<VersionedProgress> read(MoveIdentifier move) {
        TableReadResult read = table.read(row(move));
        if (read instanceof TableReadResult.Found found) {
            return Optional.of(new VersionedProgress(parse(move, found.value()), found.version()));
        }
        return read instanceof TableReadResult.Absent
                ? Optional.of(new VersionedProgress(MoveProgress.start(move), TableService.ABSENT))
                : Optional.empty();
    }

    /**
     * Records a step, unless the row has changed.
     *
     * @param step the step
     * @param expectedRowVersion the version of the row that the step builds on
     * @return the step that the table holds now, this one or another's; empty if the table did not answer
     */
    public Optional<VersionedProgress> compareAndSet(MoveProgress step, long expectedRowVersion) {
        TableWriteResult write = table.write(row(step.move()), text(step), expectedRowVersion);
        return write instanceof TableWriteResult.Written written
                ? Optional.of(new VersionedProgress(step, written.version()))
                : read(step.move());
    }

    private static String row(MoveIdentifier move) {
        return "move/" + move.label();
    }

    private static String text(MoveProgress step) {
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
