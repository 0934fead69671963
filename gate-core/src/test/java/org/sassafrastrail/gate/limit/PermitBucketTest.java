package org.sassafrastrail.gate.limit;

import java.time.Duration;
import java.time.Instant;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the bucket from which permits are issued. */
class PermitBucketTest {

    private static final Instant NOW = Instant.EPOCH.plusSeconds(100);

    @ParameterizedTest
    @ValueSource(doubles = {0.25 / 360, 0.25, 11.7, 999_999_999.999})
    void nextPermitIsThereAfterDelayAndNotBefore(double perSecond) {
        PermitBucket empty = PermitBucket.empty(NOW);
        Duration delay = empty.delay(perSecond);
        assertThat(delay).isPositive();
        assertThat(empty.filledAt(perSecond, NOW).hasPermit()).isFalse();
        assertThat(empty.filledAt(perSecond, NOW.plus(delay)).hasPermit()).isTrue();
    }

    @Test
    void longQuietTimeIsNotMadeUpFor() {
        PermitBucket filled = PermitBucket.empty(NOW).filledAt(12, NOW.plusSeconds(3600));
        assertThat(filled.permits()).isEqualTo(3);
    }

    @Test
    void clockThatGoesBackAddsNothing() {
        assertThat(PermitBucket.empty(NOW).filledAt(12, NOW.minusSeconds(9)).permits())
                .isZero();
    }

    @Test
    void upstreamWithoutLimitHasPermitsAlways() {
        PermitBucket used =
                PermitBucket.empty(NOW).filledAt(Double.POSITIVE_INFINITY, NOW).issued();
        assertThat(used.filledAt(Double.POSITIVE_INFINITY, NOW).hasPermit()).isTrue();
        assertThat(used.filledAt(2, NOW).hasPermit()).isFalse();
    }
}
