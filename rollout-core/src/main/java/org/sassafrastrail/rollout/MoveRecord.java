package org.sassafrastrail.rollout;

import java.time.Instant;

import org.sassafrastrail.messages.MoveProgress;

/**
 * The recorded step of a move, as the controller last saw it in the platform's table.
 *
 * @param progress the recorded step
 * @param rowVersion the version of its row
 * @param firstSeenAt when this controller first saw the current share of the move
 * @param attemptsAtFirstSeen how many attempts at the new version had ended at that time
 */
public record MoveRecord(MoveProgress progress, long rowVersion, Instant firstSeenAt, long attemptsAtFirstSeen) {}
