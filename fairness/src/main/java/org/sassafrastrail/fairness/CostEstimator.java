package org.sassafrastrail.fairness;

import org.sassafrastrail.model.AccountName;

/** Estimates what a request will cost, and learns from what requests did cost. Implementations are immutable. */
public interface CostEstimator {

    /**
     * Estimates a cost.
     *
     * @param account the client account
     * @param hint the caller's hint in tokens, 0 for none
     * @return the estimate in tokens, at least 1
     */
    long estimate(AccountName account, long hint);

    /**
     * Learns from a finished request.
     *
     * @param account the client account
     * @param hint the caller's hint in tokens, 0 for none
     * @param cost what the request did cost, in tokens
     * @return the estimator that knows it
     */
    CostEstimator withObservation(AccountName account, long hint, long cost);
}
