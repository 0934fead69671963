package org.sassafrastrail.router.core;

import java.time.Duration;

import org.sassafrastrail.model.AttemptIdentifier;

/** The waits between attempts. */
@FunctionalInterface
public interface Backoff {

    /**
     * Tells how long to wait after an attempt.
     *
     * @param attempt the attempt that ended
     * @return the wait
     */
    Duration delayAfter(AttemptIdentifier attempt);
}
