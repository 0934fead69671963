package org.sassafrastrail.rollout;

import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.rules.RuleSet;

/** An event for the controller of version moves. */
public sealed interface RolloutEvent {

    /** A periodic tick. */
    record Tick() implements RolloutEvent {}

    /**
     * The inputs of the controller changed, or may have changed.
     *
     * @param rules the rules in force
     * @param evidence the evidence on versions
     * @param moveRegistry the steps and suspensions of moves
     */
    record InputsUpdated(RuleSet rules, EvidenceLedger evidence, MoveRegistry moveRegistry) implements RolloutEvent {}

    /**
     * This node acquired or renewed the lease.
     *
     * @param lease the lease with its current expiry
     */
    record LeaseHeld(ControllerLease lease) implements RolloutEvent {}

    /** Another node holds the lease. */
    record LeaseHeldByOther() implements RolloutEvent {}

    /**
     * The platform's table returned the row of a move, after a read or after an attempt to record a step. The row may
     * hold the step of another controller.
     *
     * @param recorded the step that the row holds
     * @param rowVersion the version of the row
     */
    record StepRowReceived(MoveProgress recorded, long rowVersion) implements RolloutEvent {}
}
