package org.sassafrastrail.rollout;

import java.time.Instant;

import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.model.TrafficShare;

/** Decides when a move takes its next step, and to which share. */
public interface RolloutPolicy {

    /**
     * Returns the share that the new version should have now.
     *
     * @param progress the last recorded step of the move
     * @param attempts how many attempts at the new version ended since {@code lastStep}
     * @param lastStep when the controller first saw the current share
     * @param now the current time
     * @return the share; the current one if the next step is not due yet
     */
    TrafficShare nextShare(MoveProgress progress, long attempts, Instant lastStep, Instant now);
}
