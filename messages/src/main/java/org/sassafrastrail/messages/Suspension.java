package org.sassafrastrail.messages;

import org.sassafrastrail.model.MoveIdentifier;

/**
 * The suspension of a move's new version because of a regression. It is permanent: the version receives traffic again
 * only through a new move, which has another due time.
 *
 * @param move the version move
 * @param reason the regression that was detected
 */
public record Suspension(MoveIdentifier move, MoveProgress.Reason reason) {}
