package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the lag of a thread with a clock and a task queue that the test controls. */
class ThreadLagTest {

    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final ManualClock clock = new ManualClock();
    private final ThreadLag lag = new ThreadLag(tasks::add, clock);

    private void advance(long milliseconds) {
        clock.advance(Duration.ofMillis(milliseconds));
    }

    /** Guards against RECOVER: a gateway admitted requests that its single I/O thread handled seconds later. */
    @Test
    void lagIsReportedWhileTaskWaitsAndResetAfterwards() {
        assertThat(lag.lag()).isZero();
        lag.probe();
        advance(300);
        assertThat(lag.lag()).isEqualTo(Duration.ofMillis(300));
        tasks.remove().run();
        assertThat(lag.lag()).isEqualTo(Duration.ofMillis(300));
        lag.probe();
        tasks.remove().run();
        assertThat(lag.lag()).isZero();
    }

    @Test
    void probeIsNotSubmittedWhileAnotherWaits() {
        lag.probe();
        advance(25);
        lag.probe();
        assertThat(tasks).hasSize(1);
    }
}
