package org.sassafrastrail.runtime;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PeriodicTaskTest {

    private static final long TIMEOUT_SECONDS = 10;

    /** Guards against RECOVER: an error ended a task for good without a log line. */
    @Test
    void errorInOneRunDoesNotStopLaterRuns() throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(3);
        PeriodicTask task = new PeriodicTask(
                "test",
                Duration.ofMillis(1),
                () -> {
                    runs.countDown();
                    throw new StackOverflowError();
                },
                new EventLog("test"));
        task.start();
        assertThat(runs.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        task.stop();
    }
}
