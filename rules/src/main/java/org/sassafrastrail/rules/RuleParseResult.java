package org.sassafrastrail.rules;

import java.util.List;

/** The result of parsing a rule file. */
public sealed interface RuleParseResult {

    /**
     * The file is valid.
     *
     * @param rules its rules
     */
    record Accepted(RuleSet rules) implements RuleParseResult {}

    /**
     * The file has errors; none of its rules may be used.
     *
     * @param errors all errors, in the order of the lines
     */
    record Rejected(List<RuleError> errors) implements RuleParseResult {}
}
