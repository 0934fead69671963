package org.sassafrastrail.rollout;

import java.time.Instant;

/**
 * The right to record steps.
 *
 * @param fence the fencing token; each new holder gets a higher one
 * @param until when it lapses, by this node's clock
 */
public record ControllerLease(long fence, Instant until) {

    boolean holdsAt(Instant now) {
        return now.isBefore(until);
    }
}
