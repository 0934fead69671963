package org.sassafrastrail.fairness;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.AccountName;

/** Estimates an account's moving mean cost and pays no heed to hints. */
public final class MeanCostEstimator implements CostEstimator {

    private final MovingMean start;
    private final PMap<AccountName, MovingMean> means;

    /**
     * Starts without experience.
     *
     * @param firstEstimate the estimate for an account that nothing is known of, in tokens
     */
    public MeanCostEstimator(long firstEstimate) {
        this(new MovingMean(firstEstimate), HashTreePMap.empty());
    }

    private MeanCostEstimator(MovingMean start, PMap<AccountName, MovingMean> means) {
        this.start = start;
        this.means = means;
    }

    @Override
    public long estimate(AccountName account, long hint) {
        return Math.max(1, Math.round(means.getOrDefault(account, start).value()));
    }

    @Override
    public CostEstimator withObservation(AccountName account, long hint, long cost) {
        return new MeanCostEstimator(
                start, means.plus(account, means.getOrDefault(account, start).plus(cost)));
    }
}
