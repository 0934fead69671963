package org.sassafrastrail.gate;

import java.time.Duration;

import org.pcollections.PVector;

/**
 * A route of the configuration.
 *
 * @param name its name
 * @param host the host that callers name
 * @param prefix the beginning of the paths that take it, from slash to slash
 * @param targets where its requests go, each with a weight; at least one
 * @param idempotent whether a request may run more than once
 * @param resumable whether a stream that broke may go on at another upstream after its last event
 * @param streaming whether answers are streams of events
 * @param cacheAffinity whether requests name the parts of their prompt
 * @param anonymous whether requests need no key of a client account
 * @param maxUpstreams to how many upstreams one request may be sent
 * @param timeout the longest time that a request may be kept
 * @param latencyTarget within which an answer, or its first event, is on time
 */
public record Route(
        String name,
        String host,
        String prefix,
        PVector<WeightedTarget> targets,
        boolean idempotent,
        boolean resumable,
        boolean streaming,
        boolean cacheAffinity,
        boolean anonymous,
        int maxUpstreams,
        Duration timeout,
        Duration latencyTarget) {

    /**
     * Checks that there is somewhere to go.
     *
     * @throws IllegalArgumentException without a target or with weights that sum to nothing
     */
    public Route {
        if (targets.stream().mapToInt(WeightedTarget::weight).sum() <= 0) {
            throw new IllegalArgumentException("route without targets: " + name);
        }
    }

    /** Tells whether another attempt may be made although an earlier one may have begun to run. */
    boolean mayRunAgain() {
        return idempotent || resumable;
    }

    /** Picks a target by weight. The same draw always gives the same target. */
    WeightedTarget target(int draw) {
        int sum = targets.stream().mapToInt(WeightedTarget::weight).sum();
        int left = Math.floorMod(draw, sum);
        for (WeightedTarget target : targets) {
            left -= target.weight();
            if (left < 0) {
                return target;
            }
        }
        throw new IllegalStateException("weights do not sum up");
    }
}
