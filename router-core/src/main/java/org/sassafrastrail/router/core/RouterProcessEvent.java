package org.sassafrastrail.router.core;

import org.sassafrastrail.rollout.RolloutEvent;

/** An event of a router process, for the router or for the rollout controller. */
public sealed interface RouterProcessEvent {

    /**
     * An event for the router.
     *
     * @param event the event
     */
    record ForRouter(RouterEvent event) implements RouterProcessEvent {}

    /**
     * An event for the rollout controller.
     *
     * @param event the event
     */
    record ForRollout(RolloutEvent event) implements RouterProcessEvent {}
}
