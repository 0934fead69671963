package org.sassafrastrail.rules;

/** Reads one kind of rule. */
interface RuleParser {

    /**
     * Tells whether this reader reads rules that start with a word.
     *
     * @param keyword the first word of a line
     * @return whether it does
     */
    boolean supports(String keyword);

    /**
     * Reads a rule. Errors are gathered in the clauses; the rule is used only if there are none.
     *
     * @param clauses the words of the line
     * @param comment who asked for the rule
     * @return the rule, or {@code null} if the clauses hold errors
     */
    Rule parse(RuleClauses clauses, String comment);
}
