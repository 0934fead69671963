package org.sassafrastrail.gate;

/**
 * What a gateway saw of one version on one route. Older attempts count less from attempt to attempt.
 *
 * @param responses the decayed number of attempts with a response
 * @param failures the decayed number of attempts without a response, or with a failure
 * @param latencyMilliseconds the decayed sum of the times until responses started
 */
record VersionEvidence(double responses, double failures, double latencyMilliseconds) {

    static final VersionEvidence NONE = new VersionEvidence(0, 0, 0);

    private static final double DECAY = 0.98;
    private static final double MIN_FAILURES = 2.5;
    private static final double FAILURE_RATIO_FACTOR = 2;
    private static final double FAILURE_RATIO_ALLOWANCE = 0.05;
    private static final double MIN_RESPONSES = 3.5;
    private static final double LATENCY_FACTOR = 2.5;
    private static final double LATENCY_ALLOWANCE_MILLISECONDS = 50;

    VersionEvidence withResponse(double milliseconds) {
        return new VersionEvidence(responses * DECAY + 1, failures * DECAY, latencyMilliseconds * DECAY + milliseconds);
    }

    VersionEvidence withFailure() {
        return new VersionEvidence(responses * DECAY, failures * DECAY + 1, latencyMilliseconds * DECAY);
    }

    /** Returns whether this evidence on a new version is clearly worse than that on the other versions. */
    boolean isWorseThan(VersionEvidence baseline) {
        return isFailing(baseline) || isSlow(baseline);
    }

    private boolean isFailing(VersionEvidence baseline) {
        return failures >= MIN_FAILURES
                && failureRatio() > baseline.failureRatio() * FAILURE_RATIO_FACTOR + FAILURE_RATIO_ALLOWANCE;
    }

    private boolean isSlow(VersionEvidence baseline) {
        return responses >= MIN_RESPONSES
                && baseline.responses >= MIN_RESPONSES
                && meanMilliseconds() > baseline.meanMilliseconds() * LATENCY_FACTOR + LATENCY_ALLOWANCE_MILLISECONDS;
    }

    private double failureRatio() {
        double attempts = responses + failures;
        return attempts == 0 ? 0 : failures / attempts;
    }

    private double meanMilliseconds() {
        return responses == 0 ? 0 : latencyMilliseconds / responses;
    }
}
