package org.sassafrastrail.messages;

import org.sassafrastrail.model.MoveIdentifier;

/**
 * The fact that a move's new version showed faults. It holds for good: only a new move, with another due time, gives the
 * version traffic again.
 *
 * @param move the move
 * @param reason the fault
 */
public record Suspension(MoveIdentifier move, MoveProgress.Reason reason) {}
