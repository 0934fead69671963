package org.sassafrastrail.messages;

import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TrafficShare;

/**
 * A recorded step of a version move.
 *
 * @param move the version move
 * @param fencingToken the fencing token of the controller that recorded the step
 * @param stepNumber the number of the step within the move
 * @param share the traffic share of the new version
 * @param verdict the state of the move
 * @param reason why the move was rolled back
 */
public record MoveProgress(
        MoveIdentifier move, long fencingToken, int stepNumber, TrafficShare share, Verdict verdict, Reason reason) {

    /** The state of a move. */
    public enum Verdict {
        /** The move is in progress. */
        RUNNING,
        /** The new version receives all traffic. */
        DONE,
        /** The move was rolled back; the old version receives all traffic again. */
        TAKEN_BACK
    }

    /** Why a move was rolled back. */
    public enum Reason {
        /** The move was not rolled back. */
        NONE,
        /** The new version's failure rate is too high. */
        FAILING,
        /** The new version's latency is too high. */
        SLOW
    }

    /**
     * Creates the initial step of a move.
     *
     * @param move the move
     * @return a running move whose new version receives no traffic yet
     */
    public static MoveProgress start(MoveIdentifier move) {
        return new MoveProgress(move, 0, 0, TrafficShare.NONE, Verdict.RUNNING, Reason.NONE);
    }

    /**
     * Returns whether this step supersedes another one. A final verdict supersedes running steps and is never
     * superseded; of two running steps the one with the higher number wins.
     *
     * @param other another step of the same move
     * @return whether this step is newer
     */
    public boolean isNewerThan(MoveProgress other) {
        boolean isFinal = verdict != Verdict.RUNNING;
        boolean otherIsFinal = other.verdict != Verdict.RUNNING;
        return isFinal != otherIsFinal ? isFinal : !isFinal && stepNumber > other.stepNumber;
    }
}
