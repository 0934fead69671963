package org.sassafrastrail.messages;

import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TrafficShare;

/**
 * A recorded step of a version move.
 *
 * @param move the move
 * @param fencingToken the fencing token of the controller that recorded it
 * @param stepNumber counts the steps
 * @param share the share of the new version
 * @param verdict how the move stands
 * @param reason why, when it was taken back
 */
public record MoveProgress(
        MoveIdentifier move, long fencingToken, int stepNumber, TrafficShare share, Verdict verdict, Reason reason) {

    /** How a move stands. */
    public enum Verdict {
        /** Under way. */
        RUNNING,
        /** The new version has the whole traffic. */
        DONE,
        /** The old version has the whole traffic again. */
        TAKEN_BACK
    }

    /** Why a move was taken back. */
    public enum Reason {
        /** It was not. */
        NONE,
        /** The new version fails too often. */
        FAILING,
        /** The new version is too slow. */
        SLOW
    }

    /**
     * Starts a move.
     *
     * @param move the move
     * @return a move under way that has no traffic yet
     */
    public static MoveProgress start(MoveIdentifier move) {
        return new MoveProgress(move, 0, 0, TrafficShare.NONE, Verdict.RUNNING, Reason.NONE);
    }

    /**
     * Tells whether this step replaces another. A verdict is final; else the later step counts.
     *
     * @param other another step of the same move
     * @return whether this one is newer
     */
    public boolean isNewerThan(MoveProgress other) {
        boolean isFinal = verdict != Verdict.RUNNING;
        boolean otherIsFinal = other.verdict != Verdict.RUNNING;
        return isFinal != otherIsFinal ? isFinal : !isFinal && stepNumber > other.stepNumber;
    }
}
