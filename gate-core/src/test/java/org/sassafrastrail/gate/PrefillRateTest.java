package org.sassafrastrail.gate;

import java.time.Duration;
import java.util.Random;

import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the prefill rate of an engine is learned from its responses. */
class PrefillRateTest {

    private static final double ASSUMED = 80;
    private static final int RESPONSES = 20;
    private static final int WAITING_TOKENS = 20_000;
    private static final Percentage TOLERANCE = Percentage.withPercentage(20);

    private final Random random = new Random(1);

    /** Responses start after 45 ms and the prefill, with 10 in 100 of noise on the prefill. */
    private PrefillRate afterResponses(PrefillRate rate, double tokensPerMillisecond) {
        PrefillRate learned = rate;
        for (int number = 0; number < RESPONSES; number++) {
            long tokens = 300 + random.nextInt(12_000);
            double milliseconds = 45 + tokens / tokensPerMillisecond * (0.9 + 0.2 * random.nextDouble());
            learned = learned.withResponse(tokens, Duration.ofNanos(Math.round(milliseconds * 1e6)));
        }
        return learned;
    }

    private static void assertPredictsWait(PrefillRate rate, double tokensPerMillisecond) {
        assertThat(rate.millisecondsFor(WAITING_TOKENS)).isCloseTo(WAITING_TOKENS / tokensPerMillisecond, TOLERANCE);
    }

    @ParameterizedTest
    @ValueSource(doubles = {20, 48, 80, 112})
    void waitIsPredictedAfterTwentyResponses(double tokensPerMillisecond) {
        assertPredictsWait(afterResponses(PrefillRate.assumed(ASSUMED), tokensPerMillisecond), tokensPerMillisecond);
    }

    @Test
    void engineThatTurnsThreeTimesSlowerIsKnownAsSlow() {
        PrefillRate before = afterResponses(PrefillRate.assumed(ASSUMED), 112);
        PrefillRate after = afterResponses(afterResponses(before, 112.0 / 3), 112.0 / 3);
        assertPredictsWait(after, 112.0 / 3);
    }

    @Test
    void oneOutlierChangesLittle() {
        PrefillRate before = afterResponses(PrefillRate.assumed(ASSUMED), 80);
        PrefillRate after = before.withResponse(5_000, Duration.ofSeconds(30));
        assertThat(after.tokensPerMillisecond()).isBetween(40.0, 160.0);
    }

    @Test
    void rateIsAssumedWithoutResponses() {
        assertThat(PrefillRate.assumed(ASSUMED).tokensPerMillisecond()).isEqualTo(ASSUMED);
    }

    @Test
    void equalPromptsKeepAssumedRate() {
        PrefillRate rate = PrefillRate.assumed(ASSUMED);
        for (int number = 0; number < RESPONSES; number++) {
            rate = rate.withResponse(1_000, Duration.ofMillis(500));
        }
        assertThat(rate.tokensPerMillisecond()).isCloseTo(ASSUMED, TOLERANCE);
    }
}
