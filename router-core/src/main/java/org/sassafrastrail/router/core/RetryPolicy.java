package org.sassafrastrail.router.core;

import java.time.Duration;
import java.util.Optional;

import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.RetryReason;

/** Decides whether a request is tried again. Implementations are immutable. */
public interface RetryPolicy {

    /**
     * Counts a fresh request, which earns a part of a retry.
     *
     * @return the policy that knows of it
     */
    RetryPolicy withRequest();

    /**
     * Decides on another try.
     *
     * @param attempt the attempt that ended
     * @param reason why another try is wanted
     * @return how long to wait before it; empty for no other try
     */
    Optional<Duration> retryDelay(AttemptIdentifier attempt, RetryReason reason);

    /**
     * Counts a try.
     *
     * @param reason why it is made
     * @return the policy that knows of it
     */
    RetryPolicy withRetry(RetryReason reason);
}
