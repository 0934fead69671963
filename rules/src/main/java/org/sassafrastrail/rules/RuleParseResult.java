package org.sassafrastrail.rules;

import java.util.List;

/** What came of reading a rule file. */
public sealed interface RuleParseResult {

    /**
     * The file is right.
     *
     * @param rules its rules
     */
    record Accepted(RuleSet rules) implements RuleParseResult {}

    /**
     * The file has errors; none of its rules may be used.
     *
     * @param errors every error, in the order of the lines
     */
    record Rejected(List<RuleError> errors) implements RuleParseResult {}
}
