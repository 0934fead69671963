package org.sassafrastrail.router.core;

import java.time.Duration;
import java.util.Optional;

import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.RetryReason;

/** Decides whether a request is retried. Implementations are immutable. */
public interface RetryPolicy {

    /**
     * Records a new request, which adds a fraction of a retry to the budget.
     *
     * @return the policy after the request
     */
    RetryPolicy withRequest();

    /**
     * Returns the delay before a retry.
     *
     * @param attempt the attempt that ended
     * @param reason the reason for the retry
     * @return the delay; empty if the request is not retried
     */
    Optional<Duration> retryDelay(AttemptIdentifier attempt, RetryReason reason);

    /**
     * Records a retry, which may use up a part of the budget.
     *
     * @param reason the reason for the retry
     * @return the policy after the retry
     */
    RetryPolicy withRetry(RetryReason reason);
}
