package org.sassafrastrail.router.core;

import java.time.Instant;

import org.sassafrastrail.rollout.RolloutState;

/**
 * The state of a router process.
 *
 * @param router the state of the router
 * @param rollout the state of the rollout controller
 * @param lastRolloutTick when the rollout controller last received a tick
 */
public record RouterProcessState(RouterState router, RolloutState rollout, Instant lastRolloutTick) {

    /**
     * Returns the initial state of a process.
     *
     * @param router the initial state of the router
     * @param now the current time
     * @return the initial state
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
