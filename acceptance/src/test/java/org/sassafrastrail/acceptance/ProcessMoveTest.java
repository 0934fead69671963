package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.process.HttpProbe;
import org.sassafrastrail.acceptance.process.ProcessFleet;

import static org.assertj.core.api.Assertions.assertThat;

/** A version move from the operator's order to its recorded end, with real processes. */
class ProcessMoveTest {

    private static final Duration DUE = Duration.ofSeconds(30);
    private static final int TOKENS = 3;

    private final AtomicLong numbers = new AtomicLong();
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

    private void order() {
        String due = Instant.now().plus(DUE).truncatedTo(ChronoUnit.SECONDS).toString();
        assertThat(fleet.command("move", "legend", "from", "v1", "to", "v2", "by", due, "--reason", "test"))
                .contains("accepted: revision 2");
    }

    private String statusAfterMoreRequests() {
        for (int request = 0; request < 20; request++) {
            long number = numbers.incrementAndGet();
            HttpProbe.Answer answer = fleet.http()
                    .tell(fleet.routerPort((int) (number % 2)), "move" + number, TOKENS)
                    .join();
            assertThat(answer.isWhole()).as(answer.toString()).isTrue();
        }
        return fleet.command("status");
    }

    @Test
    void aGoodVersionIsDoneByItsDueTimeAndServesAlone() {
        order();
        Instant end = Instant.now().plus(DUE);
        String status = "";
        while (Instant.now().isBefore(end) && !status.contains("share 1000/1000  DONE")) {
            status = statusAfterMoreRequests();
        }

        assertThat(status).contains("share 1000/1000  DONE");
        assertThat(fleet.process("router-0").output()
                        + fleet.process("router-1").output())
                .contains("event=move-step", "verdict=DONE");
        fleet.process("engine-0").terminate();
        assertThat(fleet.http()
                        .tell(fleet.routerPort(0), "alone", TOKENS)
                        .join()
                        .isWhole())
                .isTrue();
    }

    @Test
    void anOrderOfTheControllerSurvivesItsRouter() {
        order();
        statusAfterMoreRequests();
        fleet.process("router-0").kill();
        fleet.relaunch("router", "router-0");
        fleet.awaitLinked();
        ProcessFleet.until(() -> statusAfterMoreRequests().contains("DONE"));
    }
}
