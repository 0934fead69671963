package org.sassafrastrail.gateway;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Which requests a process takes in that is behind. */
class LagAdmissionTest {

    private static final Duration AIM = Duration.ofMillis(500);

    private static boolean admits(long behindMilliseconds) {
        return admission(behindMilliseconds).admits(AIM);
    }

    private static Admission admission(long behindMilliseconds) {
        return new LagAdmission(() -> Duration.ofMillis(behindMilliseconds), 0.4, 1);
    }

    /** Guards against FAIR: a small VM that many callers came to refused them all, and was sent more. */
    @Test
    void aProcessThatCannotKeepUpAsksForNoMoreCallers() {
        assertThat(admission(399).keepsUp()).isTrue();
        assertThat(admission(400).keepsUp()).isFalse();
    }

    /** Guards against RECOVER: requests were taken in, held their time and refused, and came back sooner than it caught up. */
    @Test
    void aRequestThatWouldWaitLongerThanItMayBeHeldIsTurnedAwayAtOnce() {
        assertThat(admits(200)).isTrue();
        assertThat(admits(201)).isFalse();
    }
}
