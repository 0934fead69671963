package org.sassafrastrail.fairness;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.AccountName;

/**
 * Multiplies an account's hints by the average ratio of actual to hinted cost of its earlier requests. Requests without
 * a hint are left to another estimator.
 */
public final class CorrectedHintEstimator implements CostEstimator {

    private static final ExponentialMovingAverage INITIAL_CORRECTION = new ExponentialMovingAverage(1.0);

    private final CostEstimator fallback;
    private final PMap<AccountName, ExponentialMovingAverage> corrections;

    /**
     * Creates an estimator without observations.
     *
     * @param fallback the estimator for requests without a hint
     */
    public CorrectedHintEstimator(CostEstimator fallback) {
        this(fallback, HashTreePMap.empty());
    }

    private CorrectedHintEstimator(CostEstimator fallback, PMap<AccountName, ExponentialMovingAverage> corrections) {
        this.fallback = fallback;
        this.corrections = corrections;
    }

    @Override
    public long estimate(AccountName account, long hint) {
        return hint <= 0
                ? fallback.estimate(account, hint)
                : Math.max(1, Math.round(hint * correction(account).value()));
    }

    @Override
    public CostEstimator withObservation(AccountName account, long hint, long cost) {
        CostEstimator nextFallback = fallback.withObservation(account, hint, cost);
        return hint <= 0
                ? new CorrectedHintEstimator(nextFallback, corrections)
                : new CorrectedHintEstimator(
                        nextFallback,
                        corrections.plus(account, correction(account).plus((double) cost / hint)));
    }

    private ExponentialMovingAverage correction(AccountName account) {
        return corrections.getOrDefault(account, INITIAL_CORRECTION);
    }
}
