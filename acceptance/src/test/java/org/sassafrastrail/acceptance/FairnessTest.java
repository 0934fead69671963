package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.fleet.FairnessScenario;
import org.sassafrastrail.fairness.FirstComeFirstServedPolicy;
import org.sassafrastrail.fairness.LeastServicePolicy;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the gap in weighted service between any two backlogged client accounts stays within its bound. */
class FairnessTest {

    @Test
    void serviceGapStaysWithinBoundAndBelowBaselines() {
        Map<String, FairnessScenario> scenarios = new TreeMap<>(Map.of(
                "1 fleet totals every 100 ms",
                        new FairnessScenario(new LeastServicePolicy(), Duration.ofMillis(100), true),
                "2 fleet totals every 1 s", new FairnessScenario(new LeastServicePolicy(), Duration.ofSeconds(1), true),
                "3 totals of one sidecar only",
                        new FairnessScenario(new LeastServicePolicy(), Duration.ofMillis(100), false),
                "4 first come first served",
                        new FairnessScenario(new FirstComeFirstServedPolicy(), Duration.ofMillis(100), true)));
        Map<String, FairnessScenario.Result> results = scenarios.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, entry -> entry.getValue().run(), (a, b) -> a, TreeMap::new));

        results.forEach((name, result) -> System.out.printf("%-32s %s%n", name, result));

        FairnessScenario.Result chosen = results.get("1 fleet totals every 100 ms");
        assertThat(chosen.largestServiceGap()).isLessThanOrEqualTo(chosen.bound());
        assertThat(results.get("4 first come first served").largestServiceGap()).isGreaterThan(chosen.bound());
        assertThat(results.get("3 totals of one sidecar only").largestServiceGap())
                .isGreaterThan(chosen.largestServiceGap());
    }
}
