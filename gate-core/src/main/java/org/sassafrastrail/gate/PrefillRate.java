package org.sassafrastrail.gate;

import java.time.Duration;

/**
 * The prefill rate of an engine, learned from its responses: a line through the tokens that it had to prefill until a
 * response started and the time that this took, by least squares with weights that decay from response to response. A
 * prior holds the line until the responses say more.
 *
 * @param weight the decayed number of responses
 * @param tokens the weighted mean of the tokens
 * @param milliseconds the weighted mean of the times
 * @param tokenVariance the weighted sum of squared deviations of the tokens
 * @param covariance the weighted sum of products of the deviations of tokens and times
 * @param prior the rate that is assumed before any response, in tokens per millisecond
 */
record PrefillRate(
        double weight, double tokens, double milliseconds, double tokenVariance, double covariance, double prior) {

    private static final double DECAY = 0.92;

    /** The prior counts as much as a response whose tokens deviate from the mean by this number. */
    private static final double PRIOR_DEVIATION = 1_500;

    private static final double MIN_TOKENS_PER_MILLISECOND = 1;
    private static final double MAX_TOKENS_PER_MILLISECOND = 1_000;

    /** A response that took longer than this multiple of the expected time, and this time more, counts as that long. */
    private static final double MAX_DELAY_FACTOR = 4;

    private static final double MAX_EXTRA_MILLISECONDS = 200;

    static PrefillRate assumed(double tokensPerMillisecond) {
        return new PrefillRate(0, 0, 0, 0, 0, tokensPerMillisecond);
    }

    /** Learns from a response that started after the given prompt tokens were prefilled. */
    PrefillRate withResponse(long prefilled, Duration time) {
        double sample = time.toNanos() / (double) Duration.ofMillis(1).toNanos();
        double limited =
                weight < 1 ? sample : Math.min(sample, expected(prefilled) * MAX_DELAY_FACTOR + MAX_EXTRA_MILLISECONDS);
        double before = weight * DECAY;
        double after = before + 1;
        double tokenDeviation = prefilled - tokens;
        double timeDeviation = limited - milliseconds;
        return new PrefillRate(
                after,
                tokens + tokenDeviation / after,
                milliseconds + timeDeviation / after,
                tokenVariance * DECAY + before / after * tokenDeviation * tokenDeviation,
                covariance * DECAY + before / after * tokenDeviation * timeDeviation,
                prior);
    }

    private double expected(long prefilled) {
        return Math.max(0, milliseconds + (prefilled - tokens) / tokensPerMillisecond());
    }

    double tokensPerMillisecond() {
        double priorWeight = PRIOR_DEVIATION * PRIOR_DEVIATION;
        double slope = (covariance + priorWeight / prior) / (tokenVariance + priorWeight);
        return slope <= 0
                ? MAX_TOKENS_PER_MILLISECOND
                : Math.min(MAX_TOKENS_PER_MILLISECOND, Math.max(MIN_TOKENS_PER_MILLISECOND, 1 / slope));
    }

    /** Returns the time to prefill the given tokens. */
    double millisecondsFor(double prefillTokens) {
        return prefillTokens / tokensPerMillisecond();
    }
}
