package org.sassafrastrail.rules;

/**
 * One error in a rule file.
 *
 * @param line the line number, counted from 1
 * @param column the column, counted from 1, in characters
 * @param kind the kind of error
 * @param expected what was expected instead
 */
public record RuleError(int line, int column, Kind kind, String expected) {

    /** The kinds of errors in a rule file. */
    public enum Kind {
        /** The first word is not the keyword of a rule. */
        UNKNOWN_RULE,
        /** A word of the rule is missing. */
        MISSING_WORD,
        /** A word is not a keyword of the rule. */
        UNEXPECTED_WORD,
        /** A value is out of its range or malformed. */
        BAD_VALUE,
        /** The line has no comment that states who requested the rule. */
        MISSING_COMMENT,
        /** An earlier line has a rule on the same subject. */
        DUPLICATE,
        /** The rule refers to a name that no rule declares. */
        UNKNOWN_REFERENCE,
        /** The line is longer than allowed. */
        LINE_TOO_LONG,
        /** The line has characters that are not allowed, or the file is not valid UTF-8. */
        BAD_CHARACTER
    }
}
