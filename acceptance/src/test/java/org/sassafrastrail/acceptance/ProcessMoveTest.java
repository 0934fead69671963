package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.process.ProcessFleet;
import org.sassafrastrail.acceptance.process.TestHttpClient;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests version moves with real processes, from the operator's command to the recorded verdict. */
class ProcessMoveTest {

    private static final Duration MOVE_DURATION = Duration.ofSeconds(30);
    private static final int TOKENS = 3;

    private final AtomicLong requestCount = new AtomicLong();
    private ProcessFleet fleet;

    @BeforeEach
    void startFleet() {
        fleet = new ProcessFleet(5);
        fleet.startNewVersion();
    }

    @AfterEach
    void stopFleet() {
        fleet.close();
    }

    private void orderMove() {
        String dueTime = Instant.now()
                .plus(MOVE_DURATION)
                .truncatedTo(ChronoUnit.SECONDS)
                .toString();
        assertThat(fleet.runCommand("move", "legend", "from", "v1", "to", "v2", "by", dueTime, "--reason", "test"))
                .contains("accepted: revision 2");
    }

    private String statusAfterMoreRequests() {
        for (int request = 0; request < 20; request++) {
            long number = requestCount.incrementAndGet();
            TestHttpClient.Response response = fleet.http()
                    .sendModelRequest(fleet.routerPort((int) (number % 2)), "move" + number, TOKENS)
                    .join();
            assertThat(response.isOk()).as(response.toString()).isTrue();
        }
        return fleet.runCommand("status");
    }

    @Test
    void healthyVersionFinishesByDueTimeAndServesAlone() {
        orderMove();
        Instant deadline = Instant.now().plus(MOVE_DURATION);
        String status = "";
        while (Instant.now().isBefore(deadline) && !status.contains("share 1000/1000  DONE")) {
            status = statusAfterMoreRequests();
        }

        assertThat(status).contains("share 1000/1000  DONE");
        assertThat(fleet.process("router-0").output()
                        + fleet.process("router-1").output())
                .contains("event=move-step", "verdict=DONE");
        fleet.process("engine-0").terminate();
        assertThat(fleet.http()
                        .sendModelRequest(fleet.routerPort(0), "alone", TOKENS)
                        .join()
                        .isOk())
                .isTrue();
    }

    @Test
    void moveFinishesAfterRouterIsKilled() {
        orderMove();
        statusAfterMoreRequests();
        fleet.process("router-0").kill();
        fleet.restart("router", "router-0");
        fleet.awaitReady();
        ProcessFleet.awaitCondition(() -> statusAfterMoreRequests().contains("DONE"));
    }
}
