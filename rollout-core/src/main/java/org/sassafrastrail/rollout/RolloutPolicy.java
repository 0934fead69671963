package org.sassafrastrail.rollout;

import java.time.Instant;

import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.model.TrafficShare;

/** Decides when a move takes its next step, and which. */
public interface RolloutPolicy {

    /**
     * Tells the share that the new version should have now.
     *
     * @param progress how the move stands
     * @param attempts how many attempts at the new version ended since the last step
     * @param lastStep when the last step was recorded
     * @param now the time
     * @return the share; the present one if it is not yet time for a step
     */
    TrafficShare nextShare(MoveProgress progress, long attempts, Instant lastStep, Instant now);
}
