package org.sassafrastrail.messages;

import java.util.List;

/**
 * Steps and suspensions of moves that are news to the receiver.
 *
 * @param progress recorded steps
 * @param suspensions versions whose faults showed
 */
public record MoveUpdate(List<MoveProgress> progress, List<Suspension> suspensions) implements Message {}
