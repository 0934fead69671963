package org.sassafrastrail.durable;

import java.time.Instant;

import org.sassafrastrail.model.Revision;
import org.sassafrastrail.rules.KeyDigest;
import org.sassafrastrail.rules.RuleDocument;

/**
 * The content of a table row that describes one revision of the rule file.
 *
 * @param revision the revision
 * @param digest the digest of the rule file's text
 * @param changedAt when it was proposed
 * @param changedBy the operator who proposed it
 */
record RevisionRow(Revision revision, KeyDigest digest, Instant changedAt, String changedBy) {

    private static final int FIELDS = 4;

    static RevisionRow of(RuleDocument document) {
        return new RevisionRow(
                document.revision(), KeyDigest.of(document.text()), document.changedAt(), document.changedBy());
    }

    static RevisionRow parse(String text) {
        String[] fields = text.split(" ", FIELDS);
        return new RevisionRow(
                new Revision(Long.parseLong(fields[0])),
                new KeyDigest(fields[1]),
                Instant.parse(fields[2]),
                fields[FIELDS - 1]);
    }

    String format() {
        return revision.value() + " " + digest.hexadecimal() + " " + changedAt + " " + changedBy;
    }

    String objectName() {
        return "rules-" + revision.value() + "-" + digest.hexadecimal();
    }

    RuleDocument document(String text) {
        return new RuleDocument(revision, text, changedBy, changedAt);
    }
}
