package org.sassafrastrail.rollout;

import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.messages.Suspension;
import org.sassafrastrail.model.MoveIdentifier;

/** What the controller of version moves wants done. */
public sealed interface RolloutAction {

    /** Take or renew the lease. */
    record AcquireLease() implements RolloutAction {}

    /**
     * Read the row of a move.
     *
     * @param move the move
     */
    record ReadStep(MoveIdentifier move) implements RolloutAction {}

    /**
     * Record a step, unless the row has changed.
     *
     * @param step the step
     * @param rowVersion the version of the row that the step builds on, 0 for none
     */
    record RecordStep(MoveProgress step, long rowVersion) implements RolloutAction {}

    /**
     * Tell all nodes of a recorded step.
     *
     * @param step the step
     */
    record AnnounceStep(MoveProgress step) implements RolloutAction {}

    /**
     * Tell all nodes that a version showed faults.
     *
     * @param suspension the suspension
     */
    record AnnounceSuspension(Suspension suspension) implements RolloutAction {}
}
