package org.sassafrastrail.rules;

/**
 * One error in a rule file.
 *
 * @param line counted from 1
 * @param column counted from 1, in characters
 * @param kind what is wrong
 * @param expected what would have been right
 */
public record RuleError(int line, int column, Kind kind, String expected) {

    /** What can be wrong with a rule file. */
    public enum Kind {
        /** The first word names no kind of rule. */
        UNKNOWN_RULE,
        /** A word of the rule is missing. */
        MISSING_WORD,
        /** A word is not one of those that the rule knows. */
        UNEXPECTED_WORD,
        /** A value is out of its range or malformed. */
        BAD_VALUE,
        /** The line has no comment on who asked for it. */
        MISSING_COMMENT,
        /** An earlier line rules on the same subject. */
        DUPLICATE,
        /** The rule names something that no rule defines. */
        UNKNOWN_REFERENCE,
        /** The line is longer than allowed. */
        LINE_TOO_LONG,
        /** The line has characters that are not allowed, or the file is not UTF-8. */
        BAD_CHARACTER
    }
}
