package org.sassafrastrail.runtime;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.decision.DecisionCore;
import org.sassafrastrail.decision.Transition;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the control thread after errors and while it is blocked. */
class ControlLoopTest {

    private static final long TIMEOUT_SECONDS = 10;

    private final CountDownLatch release = new CountDownLatch(1);
    private final ControlLoop<Integer, Runnable, Integer> loop = loop();

    private ControlLoop<Integer, Runnable, Integer> loop() {
        DecisionCore<Integer, Runnable, Integer> core = (state, event, now) -> {
            event.run();
            return Transition.to(state + 1);
        };
        ControlLoop<Integer, Runnable, Integer> started = new ControlLoop<>(
                "control",
                core,
                0,
                action -> {},
                new MonotonicClock(Clock.systemUTC()),
                new Metrics(new MetricRegistry()),
                new EventLog("test"));
        started.start();
        return started;
    }

    @AfterEach
    void stop() {
        release.countDown();
        loop.stop();
    }

    /** Guards against RECOVER: an error ended the control thread and the process went on without one. */
    @Test
    void errorInOneEventDoesNotStopLaterEvents() throws InterruptedException {
        CountDownLatch handled = new CountDownLatch(1);
        loop.post(() -> {
            throw new StackOverflowError();
        });
        loop.post(handled::countDown);
        assertThat(handled.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void blockedControlThreadShowsInLag() throws InterruptedException {
        assertThat(loop.lag()).isZero();
        CountDownLatch started = new CountDownLatch(1);
        loop.post(() -> {
            started.countDown();
            awaitRelease();
        });
        assertThat(started.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        loop.post(() -> {});
        TimeUnit.MILLISECONDS.sleep(20);
        assertThat(loop.lag()).isGreaterThanOrEqualTo(Duration.ofMillis(20));
    }

    private void awaitRelease() {
        try {
            release.await();
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
