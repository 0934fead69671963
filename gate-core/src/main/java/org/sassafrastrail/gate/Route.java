package org.sassafrastrail.gate;

import java.time.Duration;

import org.pcollections.PVector;

/**
 * A configured route from a host and path prefix to weighted targets.
 *
 * @param name the name of the route
 * @param host the host that callers address
 * @param prefix the path prefix that requests must have, beginning and ending with a slash
 * @param targets the weighted targets; at least one has a positive weight
 * @param idempotent whether a request may be executed more than once
 * @param resumable whether another upstream may resume an aborted stream after its last event
 * @param streaming whether responses are event streams
 * @param cacheAffinity whether requests name the parts of their prompt, so that they are placed by prompt cache
 *     affinity
 * @param anonymous whether requests need no API key of a client account
 * @param maxUpstreams the maximum number of upstreams that one request may be sent to
 * @param timeout the maximum time from the arrival of a request to its final response
 * @param latencyTarget the time within which a response, or its first event, is on time
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
     * Checks that the route has a usable target.
     *
     * @throws IllegalArgumentException if the weights of the targets do not have a positive sum
     */
    public Route {
        if (targets.stream().mapToInt(WeightedTarget::weight).sum() <= 0) {
            throw new IllegalArgumentException("no target with a positive weight in route " + name);
        }
    }

    /** Returns whether a request may be retried although an earlier attempt may have been executed. */
    boolean allowsReexecution() {
        return idempotent || resumable;
    }

    /** Picks a target by weight, deterministically for the same draw. */
    WeightedTarget target(int draw) {
        int sum = targets.stream().mapToInt(WeightedTarget::weight).sum();
        int remaining = Math.floorMod(draw, sum);
        for (WeightedTarget target : targets) {
            remaining -= target.weight();
            if (remaining < 0) {
                return target;
            }
        }
        throw new IllegalStateException("draw is not below the sum of the weights");
    }
}
