package org.sassafrastrail.rules;

import java.time.Instant;

import org.sassafrastrail.model.Revision;

/**
 * An accepted rule file.
 *
 * @param revision the revision of the configuration that it makes up
 * @param text the rule file
 * @param changedBy who applied it
 * @param changedAt when it was applied
 */
public record RuleDocument(Revision revision, String text, String changedBy, Instant changedAt) {

    /** No rule file has been accepted yet. */
    public static final RuleDocument NONE = new RuleDocument(Revision.NONE, "", "nobody", Instant.EPOCH);

    /**
     * Parses the rules.
     *
     * @return the rules, empty if the text is damaged; an accepted file has no errors
     */
    public RuleSet rules() {
        RuleParseResult result = new RuleFileParser().parse(text);
        return result instanceof RuleParseResult.Accepted accepted ? accepted.rules() : RuleSet.EMPTY;
    }
}
