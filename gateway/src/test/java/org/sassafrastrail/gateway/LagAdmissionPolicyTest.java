package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which requests a lagging process admits. */
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

    /** Guards against FAIR: a small VM with many callers refused them all, and was sent more. */
    @Test
    void isNotCaughtUpAtOverloadLag() {
        assertThat(admission(99).isCaughtUp()).isTrue();
        assertThat(admission(100).isCaughtUp()).isFalse();
    }

    @Test
    void overloadEndsOnlyBelowCaughtUpLag() {
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

    /** Guards against RECOVER: requests were admitted, queued and refused, and retried before the process had caught up. */
    @Test
    void requestIsRefusedWhenLagExceedsMaximumQueueingTime() {
        assertThat(admits(200)).isTrue();
        assertThat(admits(201)).isFalse();
    }

    /** Guards against FAIR: when one account overloaded a gateway, the other accounts were refused as well. */
    @Test
    void senderBelowEvenShareIsAdmittedUpToLatencyTarget() {
        assertThat(admission(499).admits(LATENCY_TARGET, "guest")).isTrue();
        assertThat(admission(500).admits(LATENCY_TARGET, "guest")).isFalse();
    }
}
