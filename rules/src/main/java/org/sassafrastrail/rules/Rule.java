package org.sassafrastrail.rules;

/** One line of the rule file. */
public sealed interface Rule permits AccountRule, TargetRule, FailureDomainRule, MoveRule {

    /**
     * Says what the rule is about; two rules on the same subject contradict each other.
     *
     * @return the keyword and the names that the rule is about
     */
    String subject();

    /**
     * Writes the rule the way the rule file has it, without its comment.
     *
     * @return the text
     */
    String text();

    /**
     * Says who asked for the rule.
     *
     * @return the comment of the line, never blank
     */
    String comment();

    /**
     * Writes the whole line.
     *
     * @return the rule and its comment
     */
    default String line() {
        return text() + " # " + comment();
    }
}
