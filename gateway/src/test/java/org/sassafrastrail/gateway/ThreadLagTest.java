package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.Queue;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** How far a thread is behind, with a time and a thread that the test moves. */
class ThreadLagTest {

    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private Instant now = Instant.EPOCH;
    private final ThreadLag lag = new ThreadLag(tasks::add, new Clock() {
        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return now;
        }
    });

    private void pass(long milliseconds) {
        now = now.plusMillis(milliseconds);
    }

    /** Guards against RECOVER: a gateway took requests in that its one traffic thread came to seconds later. */
    @Test
    void aThreadThatIsBehindShowsWhileItIsAndNoLonger() {
        assertThat(lag.lag()).isZero();
        lag.probe();
        pass(300);
        assertThat(lag.lag()).isEqualTo(Duration.ofMillis(300));
        tasks.remove().run();
        assertThat(lag.lag()).isEqualTo(Duration.ofMillis(300));
        lag.probe();
        tasks.remove().run();
        assertThat(lag.lag()).isZero();
    }

    @Test
    void oneProbeWaitsAtATime() {
        lag.probe();
        pass(25);
        lag.probe();
        assertThat(tasks).hasSize(1);
    }
}
