package org.sassafrastrail.durable;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

import org.sassafrastrail.model.Revision;
import org.sassafrastrail.rules.RuleDocument;

/**
 * Stores rule files with their revisions. A rule file is accepted once its text is in the object store and the table row
 * of the current revision refers to it; the row is updated by compare-and-set.
 */
public final class RuleFileStore {

    private static final String CURRENT_ROW = "rules/current";
    private static final String HISTORY_PREFIX = "rules/history/";

    private final TableService table;
    private final ObjectStore objects;

    /**
     * Creates the store.
     *
     * @param table the platform's table
     * @param objects the platform's object store
     */
    public RuleFileStore(TableService table, ObjectStore objects) {
        this.table = table;
        this.objects = objects;
    }

    /** The result of proposing a rule file. */
    public sealed interface ProposalResult {

        /**
         * The rule file was accepted.
         *
         * @param document the rule file with its revision
         */
        record Accepted(RuleDocument document) implements ProposalResult {}

        /**
         * A concurrent proposal was accepted first.
         *
         * @param current the rule file that is now in force
         */
        record Conflict(RuleDocument current) implements ProposalResult {}

        /** The platform did not confirm the proposal. It may have taken effect; read the current rule file to find out. */
        record Unconfirmed() implements ProposalResult {}
    }

    /**
     * Proposes a rule file as the successor of a revision.
     *
     * @param text the text of the rule file
     * @param base the revision that it is based on
     * @param changedBy the operator who proposes it
     * @param now the current time
     * @return whether it was accepted
     */
    public ProposalResult propose(String text, Revision base, String changedBy, Instant now) {
        RuleDocument document = new RuleDocument(base.next(), text, changedBy, now);
        RevisionRow row = RevisionRow.of(document);
        if (!objects.put(row.objectName(), text.getBytes(StandardCharsets.UTF_8))) {
            return new ProposalResult.Unconfirmed();
        }
        TableWriteResult write = advance(row, base);
        ProposalResult result = write instanceof TableWriteResult.Written
                ? new ProposalResult.Accepted(document)
                : resolve(document, row);
        if (result instanceof ProposalResult.Accepted) {
            table.write(HISTORY_PREFIX + row.revision().value(), row.format(), TableService.ABSENT);
        }
        return result;
    }

    /**
     * Lists the latest accepted revisions. A revision whose history row could not be written is missing.
     *
     * @param limit the maximum number of revisions
     * @return the rule files without their texts, newest first; empty if the platform is unavailable
     */
    public List<RuleDocument> history(int limit) {
        TableReadResult read = table.read(CURRENT_ROW);
        long newest = read instanceof TableReadResult.Found found
                ? RevisionRow.parse(found.value()).revision().value()
                : 0;
        return LongStream.iterate(newest, revision -> revision > 0, revision -> revision - 1)
                .limit(limit)
                .mapToObj(revision -> table.read(HISTORY_PREFIX + revision))
                .filter(TableReadResult.Found.class::isInstance)
                .map(row ->
                        RevisionRow.parse(((TableReadResult.Found) row).value()).document(""))
                .toList();
    }

    /**
     * Updates the row of the current revision if it still holds the base revision. The store assigns row versions itself,
     * so the expected version has to be read first.
     */
    private TableWriteResult advance(RevisionRow row, Revision base) {
        TableReadResult read = table.read(CURRENT_ROW);
        if (read instanceof TableReadResult.Found found) {
            return RevisionRow.parse(found.value()).revision().equals(base)
                    ? table.write(CURRENT_ROW, row.format(), found.version().number())
                    : new TableWriteResult.Conflict();
        }
        if (read instanceof TableReadResult.Absent) {
            return base.equals(Revision.NONE)
                    ? table.write(CURRENT_ROW, row.format(), TableService.ABSENT)
                    : new TableWriteResult.Conflict();
        }
        return new TableWriteResult.Unavailable();
    }

    /** Reads the row back to find out which proposal took effect, for a conflict or a write whose result was lost. */
    private ProposalResult resolve(RuleDocument document, RevisionRow row) {
        TableReadResult read = table.read(CURRENT_ROW);
        if (read instanceof TableReadResult.Found found && found.value().equals(row.format())) {
            return new ProposalResult.Accepted(document);
        }
        boolean superseded = read instanceof TableReadResult.Found found
                && !RevisionRow.parse(found.value()).revision().next().equals(row.revision());
        return superseded
                ? fetchIfNewer(Revision.NONE)
                        .<ProposalResult>map(ProposalResult.Conflict::new)
                        .orElseGet(ProposalResult.Unconfirmed::new)
                : new ProposalResult.Unconfirmed();
    }

    /**
     * Reads the current rule file if it is newer than a known revision.
     *
     * @param known the revision that the caller has
     * @return the newer rule file, {@link RuleDocument#NONE} if there is none; empty if the platform is unavailable
     */
    public Optional<RuleDocument> fetchIfNewer(Revision known) {
        TableReadResult read = table.read(CURRENT_ROW);
        if (read instanceof TableReadResult.Found found) {
            RevisionRow row = RevisionRow.parse(found.value());
            return row.revision().isNewerThan(known) ? fetch(row) : Optional.of(RuleDocument.NONE);
        }
        return read instanceof TableReadResult.Absent ? Optional.of(RuleDocument.NONE) : Optional.empty();
    }

    private Optional<RuleDocument> fetch(RevisionRow row) {
        ObjectReadResult read = objects.get(row.objectName());
        return read instanceof ObjectReadResult.Found found
                ? Optional.of(row.document(new String(found.content(), StandardCharsets.UTF_8)))
                : Optional.empty();
    }
}
