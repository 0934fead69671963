package org.sassafrastrail.messages;

import java.util.List;

/**
 * Distributes steps and suspensions of version moves that are new to the receiver.
 *
 * @param progress the recorded steps
 * @param suspensions the suspended versions
 */
public record MoveUpdate(List<MoveProgress> progress, List<Suspension> suspensions) implements Message {}
