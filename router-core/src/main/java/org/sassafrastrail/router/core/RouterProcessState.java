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
public record RouterProcessState(RouterState router, RolloutState rollout, Instant lastRolloutTick) {

    /**
     * Starts with empty memory.
     *
     * @param router the start of the router
     * @param now the time
     * @return the state
     */
    public static RouterProcessState start(RouterState router, Instant now) {
        return new RouterProcessState(router, RolloutState.INITIAL, now);
    }

    RouterProcessState with(RouterState next) {
        return new RouterProcessState(next, rollout, lastRolloutTick);
    }

    RouterProcessState with(RolloutState next) {
        return new RouterProcessState(router, next, lastRolloutTick);
    }

    RouterProcessState withRolloutTick(Instant now) {
        return new RouterProcessState(router, rollout, now);
    }
}
