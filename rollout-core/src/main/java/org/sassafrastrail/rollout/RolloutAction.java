package org.sassafrastrail.rollout;

import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.messages.Suspension;
import org.sassafrastrail.model.MoveIdentifier;

/** An action of the controller of version moves, to be carried out by its node. */
public sealed interface RolloutAction {

    /** Acquire or renew the lease. */
    record AcquireLease() implements RolloutAction {}

    /**
     * Read the row of a move from the platform's table.
     *
     * @param move the move
     */
    record ReadStep(MoveIdentifier move) implements RolloutAction {}

    /**
     * Record a step in the platform's table, unless the row has changed.
     *
     * @param step the step
     * @param rowVersion the version of the row that the step builds on, 0 for none
     */
    record RecordStep(MoveProgress step, long rowVersion) implements RolloutAction {}

    /**
     * Announce a recorded step to all nodes.
     *
     * @param step the step
     */
    record AnnounceStep(MoveProgress step) implements RolloutAction {}

    /**
     * Announce to all nodes that a version is suspended.
     *
     * @param suspension the suspension
     */
    record AnnounceSuspension(Suspension suspension) implements RolloutAction {}
}
