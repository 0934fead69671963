package org.sassafrastrail.router.core;

import org.sassafrastrail.rollout.RolloutEvent;

/** What a router's process is told: as a router, or as the possible controller of version moves. */
public sealed interface RouterProcessEvent {

    /**
     * An event for the router.
     *
     * @param event the event
     */
    record ForRouter(RouterEvent event) implements RouterProcessEvent {}

    /**
     * An event for the controller of version moves.
     *
     * @param event the event
     */
    record ForRollout(RolloutEvent event) implements RouterProcessEvent {}
}
