package org.sassafrastrail.rollout;

import java.time.Instant;

/**
 * The lease that entitles its holder to record steps.
 *
 * @param fencingToken the fencing token, which is higher for each new holder
 * @param expiresAt when the lease expires, by this node's clock
 */
public record ControllerLease(long fencingToken, Instant expiresAt) {

    boolean isValidAt(Instant now) {
        return now.isBefore(expiresAt);
    }
}
