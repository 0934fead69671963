package org.sassafrastrail.router.core;

import org.sassafrastrail.rollout.RolloutAction;

/** An action of a router process, decided by the router or by the rollout controller. */
public sealed interface RouterProcessAction {

    /**
     * An action decided by the router.
     *
     * @param action the action
     */
    record FromRouter(RouterAction action) implements RouterProcessAction {}

    /**
     * An action decided by the rollout controller.
     *
     * @param action the action
     */
    record FromRollout(RolloutAction action) implements RouterProcessAction {}
}
