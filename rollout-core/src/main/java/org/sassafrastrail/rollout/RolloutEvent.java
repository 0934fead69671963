package org.sassafrastrail.rollout;

import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.rules.RuleSet;

/** What the controller of version moves is told. */
public sealed interface RolloutEvent {

    /** Time passes. */
    record Tick() implements RolloutEvent {}

    /**
     * What this node knows.
     *
     * @param rules the rules in force
     * @param evidence the evidence on versions
     * @param moveRegistry the steps and suspensions
     */
    record InputsUpdated(RuleSet rules, EvidenceLedger evidence, MoveRegistry moveRegistry) implements RolloutEvent {}

    /**
     * This node holds the lease.
     *
     * @param lease the lease
     */
    record LeaseHeld(ControllerLease lease) implements RolloutEvent {}

    /** Another node holds the lease. */
    record LeaseHeldByOther() implements RolloutEvent {}

    /**
     * The platform's table recorded a step, or held another controller's step instead.
     *
     * @param recorded the step as the table holds it
     * @param rowVersion the version of its row
     */
    record StepRowReceived(MoveProgress recorded, long rowVersion) implements RolloutEvent {}
}
