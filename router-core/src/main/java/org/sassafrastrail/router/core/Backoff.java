package org.sassafrastrail.router.core;

import java.time.Duration;

import org.sassafrastrail.model.AttemptIdentifier;

/** Determines the delay between two attempts at a request. */
@FunctionalInterface
public interface Backoff {

    /**
     * Returns the delay after an attempt.
     *
     * @param attempt the attempt that ended
     * @return the minimum time until the next attempt
     */
    Duration delayAfter(AttemptIdentifier attempt);
}
