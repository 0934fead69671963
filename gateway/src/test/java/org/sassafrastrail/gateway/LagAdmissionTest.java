package org.sassafrastrail.gateway;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.pcollections.TreePVector;
import org.sassafrastrail.gate.Route;
import org.sassafrastrail.gate.WeightedTarget;
import org.sassafrastrail.model.TargetName;

import static org.assertj.core.api.Assertions.assertThat;

/** Which requests a process takes in that is behind. */
class LagAdmissionTest {

    private static final Route ROUTE = new Route(
            "tell",
            "host",
            "/tell/",
            TreePVector.singleton(new WeightedTarget(new TargetName("model"), 1)),
            false,
            false,
            true,
            true,
            false,
            1,
            Duration.ofSeconds(4),
            Duration.ofMillis(500));

    private static boolean admits(long behindMilliseconds) {
        return admission(behindMilliseconds).admits(ROUTE);
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
