package org.sassafrastrail.gate.limit;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the permits that a gateway has for one upstream. */
class PermitStockTest {

    private static final Instant NOW = Instant.EPOCH.plusSeconds(100);
    private static final Duration DELAY = Duration.ofMillis(90);

    private static PermitStock granted() {
        return PermitStock.EMPTY.asked(NOW).answered(true, Duration.ZERO, NOW);
    }

    @Test
    void permitIsUsedOnce() {
        assertThat(granted().status(NOW)).isEqualTo(PermitStock.Status.OPEN);
        assertThat(granted().used().status(NOW)).isEqualTo(PermitStock.Status.ASKABLE);
    }

    @Test
    void unusedPermitExpiresAndIsNotAddedToNextOne() {
        Instant later = NOW.plusSeconds(1);
        assertThat(granted().status(later)).isEqualTo(PermitStock.Status.ASKABLE);
        assertThat(granted().asked(later).answered(true, Duration.ZERO, later).permits())
                .isEqualTo(1);
    }

    @Test
    void questionWithoutAnswerClosesForSomeTimeOnly() {
        PermitStock asked = PermitStock.EMPTY.asked(NOW);
        assertThat(asked.status(NOW)).isEqualTo(PermitStock.Status.ASKED);
        assertThat(asked.status(NOW.plusMillis(200))).isEqualTo(PermitStock.Status.CLOSED);
        assertThat(asked.status(NOW.plusMillis(500))).isEqualTo(PermitStock.Status.ASKABLE);
    }

    @Test
    void refusalClosesUntilNextPermit() {
        PermitStock refused = PermitStock.EMPTY.asked(NOW).answered(false, DELAY, NOW);
        assertThat(refused.status(NOW.plus(DELAY).minusNanos(1))).isEqualTo(PermitStock.Status.CLOSED);
        assertThat(refused.status(NOW.plus(DELAY))).isEqualTo(PermitStock.Status.ASKABLE);
    }

    /** An issuer that is cut off, whose part is small, does not close an upstream for hours. */
    @Test
    void refusalIsNotBelievedForLong() {
        PermitStock refused = PermitStock.EMPTY.asked(NOW).answered(false, Duration.ofDays(1), NOW);
        assertThat(refused.status(NOW.plusSeconds(4))).isEqualTo(PermitStock.Status.ASKABLE);
    }

    /** Answers that were held up come all at once; more than one would be a burst that the issuer did not mean. */
    @Test
    void answerThatNoQuestionWaitsForMeansNothing() {
        assertThat(granted().answered(true, Duration.ZERO, NOW).permits()).isEqualTo(1);
        assertThat(PermitStock.EMPTY.answered(false, DELAY, NOW).status(NOW)).isEqualTo(PermitStock.Status.ASKABLE);
    }
}
