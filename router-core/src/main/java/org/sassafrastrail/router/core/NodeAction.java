package org.sassafrastrail.router.core;

import org.sassafrastrail.rollout.RolloutAction;

/** What a router's process wants done. */
public sealed interface NodeAction {

    /**
     * An action of the router.
     *
     * @param action the action
     */
    record OfRouter(RouterAction action) implements NodeAction {}

    /**
     * An action of the controller of version moves.
     *
     * @param action the action
     */
    record OfRollout(RolloutAction action) implements NodeAction {}
}
