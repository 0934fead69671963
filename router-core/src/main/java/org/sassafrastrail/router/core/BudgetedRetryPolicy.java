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

    private static final int MOST_ATTEMPTS = 8;
    private static final double EARNED_BY_REQUEST = 0.1;
    private static final double LARGEST_BUDGET = 20;

    private final Backoff backoff;
    private final double budget;

    /**
     * Starts with a full budget.
     *
     * @param backoff the waits between attempts
     */
    public BudgetedRetryPolicy(Backoff backoff) {
        this(backoff, LARGEST_BUDGET);
    }

    private BudgetedRetryPolicy(Backoff backoff, double budget) {
        this.backoff = backoff;
        this.budget = budget;
    }

    @Override
    public RetryPolicy arrived() {
        return new BudgetedRetryPolicy(backoff, Math.min(LARGEST_BUDGET, budget + EARNED_BY_REQUEST));
    }

    @Override
    public Optional<Duration> again(AttemptIdentifier attempt, RetryReason reason) {
        boolean allowed = attempt.number() < MOST_ATTEMPTS && budget >= price(reason);
        return allowed ? Optional.of(backoff.after(attempt)) : Optional.empty();
    }

    @Override
    public RetryPolicy spent(RetryReason reason) {
        return new BudgetedRetryPolicy(backoff, budget - price(reason));
    }

    private static double price(RetryReason reason) {
        return reason == RetryReason.NOT_RUN ? 0 : 1;
    }
}
