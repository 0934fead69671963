package org.sassafrastrail.router.core;

import java.time.Instant;

import org.sassafrastrail.rollout.RolloutState;

/**
 * What a router's process knows.
 *
 * @param router what the router knows
 * @param rollout what the controller of version moves knows
 * @param lastRolloutTick when the controller last looked at the moves
 */
public record NodeState(RouterState router, RolloutState rollout, Instant lastRolloutTick) {

    /**
     * Starts with empty memory.
     *
     * @param router the start of the router
     * @param now the time
     * @return the state
     */
    public static NodeState start(RouterState router, Instant now) {
        return new NodeState(router, RolloutState.INITIAL, now);
    }

    NodeState with(RouterState next) {
        return new NodeState(next, rollout, lastRolloutTick);
    }

    NodeState with(RolloutState next) {
        return new NodeState(router, next, lastRolloutTick);
    }

    NodeState rolloutTicked(Instant now) {
        return new NodeState(router, rollout, now);
    }
}
