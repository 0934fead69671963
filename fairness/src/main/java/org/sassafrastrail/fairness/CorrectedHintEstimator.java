package org.sassafrastrail.fairness;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.AccountName;

/** Corrects an account's hints by what its earlier hints were worth; without a hint, takes the account's mean cost. */
public final class CorrectedHintEstimator implements CostEstimator {

    private static final MovingMean TRUSTED = new MovingMean(1.0);

    private final CostEstimator unhinted;
    private final PMap<AccountName, MovingMean> corrections;

    /**
     * Starts without experience.
     *
     * @param unhinted estimates requests without a hint
     */
    public CorrectedHintEstimator(CostEstimator unhinted) {
        this(unhinted, HashTreePMap.empty());
    }

    private CorrectedHintEstimator(CostEstimator unhinted, PMap<AccountName, MovingMean> corrections) {
        this.unhinted = unhinted;
        this.corrections = corrections;
    }

    @Override
    public long estimate(AccountName account, long hint) {
        return hint <= 0
                ? unhinted.estimate(account, hint)
                : Math.max(1, Math.round(hint * correction(account).value()));
    }

    @Override
    public CostEstimator withObservation(AccountName account, long hint, long cost) {
        CostEstimator nextUnhinted = unhinted.withObservation(account, hint, cost);
        return hint <= 0
                ? new CorrectedHintEstimator(nextUnhinted, corrections)
                : new CorrectedHintEstimator(
                        nextUnhinted,
                        corrections.plus(account, correction(account).plus((double) cost / hint)));
    }

    private MovingMean correction(AccountName account) {
        return corrections.getOrDefault(account, TRUSTED);
    }
}
