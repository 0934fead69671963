package org.sassafrastrail.rules;

import java.time.Instant;

import org.sassafrastrail.model.Revision;

/**
 * An accepted rule file.
 *
 * @param revision its revision
 * @param text the rule file
 * @param changedBy who applied it
 * @param changedAt when it was applied
 */
public record RuleDocument(Revision revision, String text, String changedBy, Instant changedAt) {

    /** Before any rule file was accepted. */
    public static final RuleDocument NONE = new RuleDocument(Revision.NONE, "", "nobody", Instant.EPOCH);

    /**
     * Reads the rules.
     *
     * @return the rules; an accepted file has no errors, and a damaged one gives no rules
     */
    public RuleSet rules() {
        RuleParseResult parsing = new RuleFileParser().parse(text);
        return parsing instanceof RuleParseResult.Accepted accepted ? accepted.rules() : RuleSet.EMPTY;
    }
}
