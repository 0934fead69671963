package org.sassafrastrail.fairness;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.AccountName;

/** Estimates the cost of a request as the moving average of the account's earlier costs; ignores hints. */
public final class MeanCostEstimator implements CostEstimator {

    private final ExponentialMovingAverage initial;
    private final PMap<AccountName, ExponentialMovingAverage> means;

    /**
     * Creates an estimator without observations.
     *
     * @param initialEstimate the estimate for an account without observations, in tokens
     */
    public MeanCostEstimator(long initialEstimate) {
        this(new ExponentialMovingAverage(initialEstimate), HashTreePMap.empty());
    }

    private MeanCostEstimator(ExponentialMovingAverage initial, PMap<AccountName, ExponentialMovingAverage> means) {
        this.initial = initial;
        this.means = means;
    }

    @Override
    public long estimate(AccountName account, long hint) {
        return Math.max(1, Math.round(means.getOrDefault(account, initial).value()));
    }

    @Override
    public CostEstimator withObservation(AccountName account, long hint, long cost) {
        return new MeanCostEstimator(
                initial,
                means.plus(account, means.getOrDefault(account, initial).plus(cost)));
    }
}
