package org.sassafrastrail.router.core;

import java.time.Duration;
import java.util.Optional;

import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.RetryReason;

/**
 * Limits retries by a budget to which each new request adds. An attempt that did not run put no load on an upstream, so
 * its retry is free, but it counts towards the maximum number of attempts.
 */
public final class BudgetedRetryPolicy implements RetryPolicy {

    private static final int MAX_ATTEMPTS = 8;
    private static final double BUDGET_PER_REQUEST = 0.1;
    private static final double MAX_BUDGET = 20;

    private final Backoff backoff;
    private final double budget;

    /**
     * Creates a policy with a full budget.
     *
     * @param backoff the delays between attempts
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
