package org.sassafrastrail.durable;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

import org.sassafrastrail.model.Revision;
import org.sassafrastrail.rules.RuleDocument;

/**
 * Accepted configurations. A rule file is accepted once it lies in the object store and the table's row of the current
 * revision was moved to it by compare-and-set.
 */
public final class RuleFileStore {

    private static final String CURRENT_ROW = "rules/current";
    private static final String HISTORY_PREFIX = "rules/history/";

    private final TableService table;
    private final ObjectStore objects;

    /**
     * Makes the store.
     *
     * @param table the platform's table
     * @param objects the platform's object store
     */
    public RuleFileStore(TableService table, ObjectStore objects) {
        this.table = table;
        this.objects = objects;
    }

    /** What came of a change. */
    public sealed interface ProposalResult {

        /**
         * The change is accepted.
         *
         * @param document the rule file with its revision
         */
        record Accepted(RuleDocument document) implements ProposalResult {}

        /**
         * Somebody else's change came first.
         *
         * @param current the rule file that is in force instead
         */
        record Conflict(RuleDocument current) implements ProposalResult {}

        /** The platform did not confirm the change. It may have taken effect; read the current rule file to see. */
        record Unconfirmed() implements ProposalResult {}
    }

    /**
     * Proposes a rule file.
     *
     * @param text the rule file
     * @param base the revision that it was made from
     * @param changedBy who proposes it
     * @param now the time
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
     * Lists the latest accepted changes. A change whose note was lost is missing.
     *
     * @param limit how many at most
     * @return the changes without their texts, the newest first; empty if the platform did not answer
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

    /** Moves the row on from the base. The store numbers its rows by itself, so the row's version has to be read. */
    private TableWriteResult advance(RevisionRow row, Revision base) {
        TableReadResult read = table.read(CURRENT_ROW);
        if (read instanceof TableReadResult.Found found) {
            return RevisionRow.parse(found.value()).revision().equals(base)
                    ? table.write(CURRENT_ROW, row.format(), found.version())
                    : new TableWriteResult.Conflict();
        }
        if (read instanceof TableReadResult.Absent) {
            return base.equals(Revision.NONE)
                    ? table.write(CURRENT_ROW, row.format(), TableService.ABSENT)
                    : new TableWriteResult.Conflict();
        }
        return new TableWriteResult.Unavailable();
    }

    /** Reads the row back: it tells whose change took effect, also when the answer to the write was lost. */
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
     * Reads the current rule file, unless it is known already.
     *
     * @param known the revision that the caller has
     * @return a newer rule file, the known revision's empty one if there is none newer; empty if the platform did not
     *     answer
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
