package org.sassafrastrail.rollout;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.messages.MoveProgress;

import static org.assertj.core.api.Assertions.assertThat;

class BaselineRegressionDetectorTest {

    private final BaselineRegressionDetector detector = new BaselineRegressionDetector();

    private static RouteEvidence route(String name, double attempts, double failures, double latency) {
        return new RouteEvidence(
                name, new VersionEvidence((long) attempts, attempts, failures, latency * (attempts - failures)));
    }

    @Test
    void failuresOnSingleRouteAreDetected() {
        List<RouteEvidence> baseline = List.of(route("tell", 100, 0, 20), route("summarise", 100, 0, 20));
        List<RouteEvidence> candidate = List.of(route("tell", 200, 0, 20), route("summarise", 10, 6, 20));

        assertThat(detector.detect(candidate, baseline)).isEqualTo(MoveProgress.Reason.FAILING);
    }

    @Test
    void failureRatioCloseToBaselineIsNoRegression() {
        List<RouteEvidence> baseline = List.of(route("tell", 100, 5, 20));
        List<RouteEvidence> candidate = List.of(route("tell", 100, 7, 22));

        assertThat(detector.detect(candidate, baseline)).isEqualTo(MoveProgress.Reason.NONE);
    }

    @Test
    void muchHigherLatencyIsDetected() {
        List<RouteEvidence> baseline = List.of(route("tell", 100, 0, 100));
        List<RouteEvidence> candidate = List.of(route("tell", 10, 0, 400));

        assertThat(detector.detect(candidate, baseline)).isEqualTo(MoveProgress.Reason.SLOW);
    }

    @Test
    void missingEvidenceIsNoRegression() {
        assertThat(detector.detect(List.of(), List.of())).isEqualTo(MoveProgress.Reason.NONE);
    }
}
