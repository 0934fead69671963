package org.sassafrastrail.rules;

/** A rule of the operators, one line of the rule file. */
public sealed interface Rule permits AccountRule, TargetRule, FailureDomainRule, MoveRule {

    /**
     * Returns the subject of the rule. Two rules on the same subject contradict each other.
     *
     * @return the keyword and the names that identify the subject
     */
    String subject();

    /**
     * Returns the rule in the syntax of the rule file, without its comment.
     *
     * @return the rule without its comment
     */
    String text();

    /**
     * Returns who requested the rule.
     *
     * @return the comment of the line, never blank
     */
    String comment();

    /**
     * Returns the complete line of the rule file.
     *
     * @return the rule and its comment
     */
    default String line() {
        return text() + " # " + comment();
    }
}
