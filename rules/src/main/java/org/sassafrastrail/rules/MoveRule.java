package org.sassafrastrail.rules;

import org.sassafrastrail.model.MoveIdentifier;

/**
 * Moves the traffic of a model or service from one version to another.
 *
 * @param move the move
 * @param comment who requested the rule
 */
public record MoveRule(MoveIdentifier move, String comment) implements Rule {

    @Override
    public String subject() {
        return "move " + move.target();
    }

    @Override
    public String text() {
        return subject() + " from " + move.from() + " to " + move.to() + " by " + move.due();
    }
}
