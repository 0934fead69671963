package org.sassafrastrail.fairness;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.model.AccountName;

import static org.assertj.core.api.Assertions.assertThat;

class CorrectedHintEstimatorTest {

    private static final AccountName ACCOUNT = new AccountName("kitchen");

    @Test
    void estimateConvergesForHintsThatAreTenTimesTooSmall() {
        CostEstimator estimator = new CorrectedHintEstimator(new MeanCostEstimator(50));
        for (int request = 0; request < 30; request++) {
            estimator = estimator.withObservation(ACCOUNT, 20, 200);
        }

        assertThat(estimator.estimate(ACCOUNT, 20)).isBetween(190L, 200L);
        assertThat(estimator.estimate(new AccountName("other"), 20)).isEqualTo(20);
    }

    @Test
    void requestWithoutHintIsEstimatedByMeanCost() {
        CostEstimator estimator = new CorrectedHintEstimator(new MeanCostEstimator(50));
        for (int request = 0; request < 30; request++) {
            estimator = estimator.withObservation(ACCOUNT, 0, 300);
        }

        assertThat(estimator.estimate(ACCOUNT, 0)).isBetween(290L, 300L);
    }
}
