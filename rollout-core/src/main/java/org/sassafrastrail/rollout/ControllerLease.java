package org.sassafrastrail.rollout;

import java.time.Instant;

/**
 * The right to record steps.
 *
 * @param fencingToken the fencing token; each new holder gets a higher one
 * @param expiresAt when it lapses, by this node's clock
 */
public record ControllerLease(long fencingToken, Instant expiresAt) {

    boolean isValidAt(Instant now) {
        return now.isBefore(expiresAt);
    }
}
