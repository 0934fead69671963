package org.sassafrastrail.fairness;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.AccountName;

/** Corrects an account's hints by what its earlier hints were worth; without a hint, takes the account's mean cost. */
public final class CorrectedHintEstimator implements CostEstimator {

    private static final ExponentialMovingAverage INITIAL_CORRECTION = new ExponentialMovingAverage(1.0);

    private final CostEstimator fallback;
    private final PMap<AccountName, ExponentialMovingAverage> corrections;

    /**
     * Starts without experience.
     *
     * @param fallback estimates requests without a hint
     */
    public CorrectedHintEstimator(CostEstimator unhinted) {
        this(unhinted, HashTreePMap.empty());
    }

    private CorrectedHintEstimator(CostEstimator unhinted, PMap<AccountName, ExponentialMovingAverage> corrections) {
        this.fallback = unhinted;
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
