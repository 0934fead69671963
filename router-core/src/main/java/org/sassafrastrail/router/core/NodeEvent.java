package org.sassafrastrail.router.core;

import org.sassafrastrail.rollout.RolloutEvent;

/** What a router's process is told: as a router, or as the possible controller of version moves. */
public sealed interface NodeEvent {

    /**
     * An event for the router.
     *
     * @param event the event
     */
    record OfRouter(RouterEvent event) implements NodeEvent {}

    /**
     * An event for the controller of version moves.
     *
     * @param event the event
     */
    record OfRollout(RolloutEvent event) implements NodeEvent {}
}
