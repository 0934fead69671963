package org.sassafrastrail.fairness;

import org.sassafrastrail.model.AccountName;

/** Estimates the cost of requests and adapts to observed costs. Implementations are immutable. */
public interface CostEstimator {

    /**
     * Estimates the cost of a request.
     *
     * @param account the client account
     * @param hint the caller's hint in tokens, 0 for none
     * @return the estimate in tokens, at least 1
     */
    long estimate(AccountName account, long hint);

    /**
     * Returns an estimator that takes the cost of a finished request into account.
     *
     * @param account the client account
     * @param hint the caller's hint in tokens, 0 for none
     * @param cost the actual cost of the request, in tokens
     * @return the updated estimator
     */
    CostEstimator withObservation(AccountName account, long hint, long cost);
}
