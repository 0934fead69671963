package org.sassafrastrail.router.core;

import org.sassafrastrail.rollout.RolloutAction;

/** What a router's process wants done. */
public sealed interface RouterProcessAction {

    /**
     * An action of the router.
     *
     * @param action the action
     */
    record FromRouter(RouterAction action) implements RouterProcessAction {}

    /**
     * An action of the controller of version moves.
     *
     * @param action the action
     */
    record FromRollout(RolloutAction action) implements RouterProcessAction {}
}
