package org.sassafrastrail.rollout;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.sassafrastrail.messages.MoveProgress;

/**
 * Compares each route of the new version with the same route of the old version, or with all routes of the old version
 * if there is no evidence for that route.
 */
public final class BaselineRegressionDetector implements RegressionDetector {

    private static final double MINIMUM_FAILURES = 2.5;
    private static final double FAILURE_RATIO_ALLOWANCE = 0.05;
    private static final double FAILURE_RATIO_FACTOR = 2;
    private static final double MINIMUM_RESPONSES = 4;
    private static final double LATENCY_FACTOR = 2.5;
    private static final double LATENCY_ALLOWANCE_MILLISECONDS = 50;

    @Override
    public MoveProgress.Reason detect(List<RouteEvidence> candidate, List<RouteEvidence> baseline) {
        return candidate.stream()
                .map(entry -> detect(entry.evidence(), baselineOf(entry.route(), baseline)))
                .filter(reason -> reason != MoveProgress.Reason.NONE)
                .findFirst()
                .orElse(MoveProgress.Reason.NONE);
    }

    private static MoveProgress.Reason detect(VersionEvidence candidate, VersionEvidence baseline) {
        if (isFailing(candidate, baseline)) {
            return MoveProgress.Reason.FAILING;
        }
        return isSlow(candidate, baseline) ? MoveProgress.Reason.SLOW : MoveProgress.Reason.NONE;
    }

    private static boolean isFailing(VersionEvidence candidate, VersionEvidence baseline) {
        double allowed = baseline.failureRatio() * FAILURE_RATIO_FACTOR + FAILURE_RATIO_ALLOWANCE;
        return candidate.recentFailures() >= MINIMUM_FAILURES && candidate.failureRatio() > allowed;
    }

    private static boolean isSlow(VersionEvidence candidate, VersionEvidence baseline) {
        double allowed = baseline.meanLatency() * LATENCY_FACTOR + LATENCY_ALLOWANCE_MILLISECONDS;
        return candidate.recentResponses() >= MINIMUM_RESPONSES
                && baseline.recentResponses() >= MINIMUM_RESPONSES
                && candidate.meanLatency() > allowed;
    }

    private static VersionEvidence baselineOf(String route, List<RouteEvidence> baseline) {
        Optional<VersionEvidence> sameRoute = baseline.stream()
                .filter(entry -> entry.route().equals(route))
                .map(RouteEvidence::evidence)
                .findFirst();
        Stream<VersionEvidence> allRoutes = baseline.stream().map(RouteEvidence::evidence);
        return sameRoute.orElseGet(() -> allRoutes.reduce(VersionEvidence.NONE, VersionEvidence::plus));
    }
}
