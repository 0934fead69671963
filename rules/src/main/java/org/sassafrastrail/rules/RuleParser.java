package org.sassafrastrail.rules;

/** Parses one kind of rule. */
interface RuleParser {

    /**
     * Returns whether this parser handles the rules that start with a keyword.
     *
     * @param keyword the first word of a line
     * @return whether it handles them
     */
    boolean supports(String keyword);

    /**
     * Parses a rule. Errors are collected in the clauses; the rule is used only if there are none.
     *
     * @param clauses the clauses of the line
     * @param comment who requested the rule
     * @return the rule; if the clauses have errors, {@code null} or a rule with placeholders
     */
    Rule parse(RuleClauses clauses, String comment);
}
