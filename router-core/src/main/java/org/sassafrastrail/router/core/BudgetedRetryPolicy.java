package org.sassafrastrail.router.core;

import java.time.Duration;
import java.util.Optional;

import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.RetryReason;

/**
 * Retries within a budget that fresh requests fill. An attempt that did not run has cost its upstream nothing, so it
 * spends no budget, but it counts towards the largest number of attempts.
 */
public final class BudgetedRetryPolicy implements RetryPolicy {

    private static final int MAX_ATTEMPTS = 8;
    private static final double BUDGET_PER_REQUEST = 0.1;
    private static final double MAX_BUDGET = 20;

    private final Backoff backoff;
    private final double budget;

    /**
     * Starts with a full budget.
     *
     * @param backoff the waits between attempts
     */
    public BudgetedRetryPolicy(Backoff backoff) {
        this(backoff, MAX_BUDGET);
    }

    private BudgetedRetryPolicy(Backoff backoff, double budget) {
        this.backoff = backoff;
        this.budget = budget;
    }

    @Override
    public RetryPolicy withRequest() {
        return new BudgetedRetryPolicy(backoff, Math.min(MAX_BUDGET, budget + BUDGET_PER_REQUEST));
    }

    @Override
    public Optional<Duration> retryDelay(AttemptIdentifier attempt, RetryReason reason) {
        boolean allowed = attempt.number() < MAX_ATTEMPTS && budget >= cost(reason);
        return allowed ? Optional.of(backoff.delayAfter(attempt)) : Optional.empty();
    }

    @Override
    public RetryPolicy withRetry(RetryReason reason) {
        return new BudgetedRetryPolicy(backoff, budget - cost(reason));
    }

    private static double cost(RetryReason reason) {
        return reason == RetryReason.NOT_RUN ? 0 : 1;
    }
}
