package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Which requests a process takes in that is behind. */
class LagAdmissionPolicyTest {

    private static final Duration LATENCY_TARGET = Duration.ofMillis(500);

    private static boolean admits(long lagMilliseconds) {
        return admission(lagMilliseconds).admits(LATENCY_TARGET, "crew");
    }

    private static AdmissionPolicy admission(long lagMilliseconds) {
        return admission(new AtomicLong(lagMilliseconds), recentRequests());
    }

    private static AdmissionPolicy admission(AtomicLong lagMilliseconds, RecentRequestCounts recentRequests) {
        return new LagAdmissionPolicy(() -> Duration.ofMillis(lagMilliseconds.get()), recentRequests, 0.4, 1);
    }

    /** Of two senders, crew sends most of the requests. */
    private static RecentRequestCounts recentRequests() {
        RecentRequestCounts recentRequests = new RecentRequestCounts(Clock.systemUTC());
        recentRequests.record("crew");
        recentRequests.record("crew");
        recentRequests.record("guest");
        return recentRequests;
    }

    /** Guards against FAIR: a small VM that many callers came to refused them all, and was sent more. */
    @Test
    void aProcessThatCannotKeepUpAsksForNoMoreCallers() {
        assertThat(admission(99).isCaughtUp()).isTrue();
        assertThat(admission(100).isCaughtUp()).isFalse();
    }

    @Test
    void aProcessThatWasOverloadedKeepsUpOnlyOnceItHasCaughtUp() {
        AtomicLong lag = new AtomicLong(100);
        AdmissionPolicy admission = admission(lag, recentRequests());
        assertThat(admission.isCaughtUp()).isFalse();
        lag.set(25);
        assertThat(admission.isCaughtUp()).isFalse();
        lag.set(24);
        assertThat(admission.isCaughtUp()).isTrue();
        lag.set(99);
        assertThat(admission.isCaughtUp()).isTrue();
    }

    /** Guards against RECOVER: requests were taken in, held their time and refused, and came back sooner than it caught up. */
    @Test
    void aRequestThatWouldWaitLongerThanItMayBeHeldIsTurnedAwayAtOnce() {
        assertThat(admits(200)).isTrue();
        assertThat(admits(201)).isFalse();
    }

    /** Guards against FAIR: accounts beside one that pressed on a gateway were refused like it. */
    @Test
    void aSenderThatDoesNotPressIsTakenInAsLongAsItMayBeOnTime() {
        assertThat(admission(499).admits(LATENCY_TARGET, "guest")).isTrue();
        assertThat(admission(500).admits(LATENCY_TARGET, "guest")).isFalse();
    }
}
