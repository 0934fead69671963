package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.fleet.RuleTexts;
import org.sassafrastrail.acceptance.fleet.VirtualFleet;
import org.sassafrastrail.acceptance.fleet.VirtualRouter;
import org.sassafrastrail.acceptance.fleet.VirtualSidecar;
import org.sassafrastrail.durable.MoveProgressStore;
import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.VersionName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that healthy versions finish their moves by the due time, and that faulty ones get only a small share of the
 * requests, and none within seconds of the first faults.
 */
class VersionMoveTest {

    private static final String RULES = RuleTexts.idempotentModel(2, 8, Map.of("guest", 1));
    private static final Duration MOVE_DURATION = Duration.ofSeconds(90);
    private static final Duration REACTION_TIME = Duration.ofSeconds(3);
    private static final double MAXIMUM_FAULTY_SHARE = 0.05;

    private final VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
    private MoveIdentifier move;

    @BeforeEach
    void startFleet() {
        IntStream.range(0, 3).forEach(number -> fleet.addRouter());
        List.of("north", "south", "west").forEach(domain -> fleet.addSidecar("v1", domain));
        List.of("north", "south", "west").forEach(domain -> fleet.addSidecar("v2", domain));
        fleet.publishRules(RULES);
        fleet.time().runFor(Duration.ofSeconds(10));
        IntStream.range(0, 12).forEach(number -> fleet.time().every(Duration.ofMillis(300), () -> submit(number)));
    }

    private void submit(int number) {
        fleet.submit(fleet.routers().get(number % 3), "guest", 20, 20);
    }

    private void orderMove() {
        orderMove(MOVE_DURATION);
    }

    private void orderMove(Duration duration) {
        Instant dueTime = fleet.time().now().plus(duration);
        move = new MoveIdentifier(
                new TargetName(VirtualFleet.TARGET), new VersionName("v1"), new VersionName("v2"), dueTime);
        fleet.publishRules(RULES + "move " + VirtualFleet.TARGET + " from v1 to v2 by " + dueTime + " # test\n");
    }

    private List<VirtualSidecar> newVersionSidecars() {
        return fleet.sidecars().stream()
                .filter(sidecar -> sidecar.profile().version().value().equals("v2"))
                .toList();
    }

    private int dispatchedTo(String version) {
        return fleet.counters().getOrDefault("dispatched to " + version, 0);
    }

    private MoveProgress recordedProgress() {
        return new MoveProgressStore(fleet.table()).read(move).orElseThrow().progress();
    }

    @Test
    void newVersionGetsNoRequestsBeforeMove() {
        fleet.time().runFor(Duration.ofSeconds(20));

        assertThat(dispatchedTo("v2")).isZero();
    }

    @Test
    void newVersionShareHoldsAcrossFleet() {
        orderMove();
        int oldBefore = dispatchedTo("v1");
        fleet.time().runFor(Duration.ofSeconds(6));
        int all = dispatchedTo("v1") - oldBefore + dispatchedTo("v2");

        assertThat(recordedProgress().share().perMille()).isBetween(1, 10);
        assertThat(dispatchedTo("v2")).isLessThanOrEqualTo(all / 100);
    }

    @Test
    void healthyVersionFinishesByDueTime() {
        orderMove();
        fleet.time().runFor(MOVE_DURATION);

        assertThat(recordedProgress().verdict()).isEqualTo(MoveProgress.Verdict.DONE);
        int before = dispatchedTo("v1");
        fleet.time().runFor(REACTION_TIME);
        assertThat(dispatchedTo("v1")).isEqualTo(before);
        assertThat(fleet.outcomes().values()).containsOnly("finished");
    }

    @Test
    void initiallyFailingVersionIsRolledBack() {
        newVersionSidecars().forEach(sidecar -> sidecar.engine().setFailing(true));
        orderMove();
        fleet.time().runFor(Duration.ofSeconds(60));

        assertThat(recordedProgress().verdict()).isEqualTo(MoveProgress.Verdict.TAKEN_BACK);
        assertThat(recordedProgress().reason()).isEqualTo(MoveProgress.Reason.FAILING);
        assertThat(dispatchedTo("v2")).isLessThan((int) (MAXIMUM_FAULTY_SHARE * dispatchedTo("v1")));
    }

    @Test
    void versionFailingMidMoveLosesTrafficWithinSeconds() {
        orderMove();
        fleet.time().runFor(Duration.ofSeconds(50));
        assertThat(dispatchedTo("v2")).isPositive();
        newVersionSidecars().forEach(sidecar -> sidecar.engine().setFailing(true));
        fleet.time().runFor(REACTION_TIME);
        int before = dispatchedTo("v2");
        fleet.time().runFor(Duration.ofSeconds(20));

        assertThat(dispatchedTo("v2")).isEqualTo(before);
        assertThat(recordedProgress().verdict()).isEqualTo(MoveProgress.Verdict.TAKEN_BACK);
    }

    @Test
    void slowVersionIsRolledBack() {
        orderMove();
        fleet.time().runFor(Duration.ofSeconds(30));
        newVersionSidecars().forEach(sidecar -> sidecar.engine().setFirstTokenDelay(Duration.ofMillis(500)));
        fleet.time().runFor(Duration.ofSeconds(60));

        assertThat(recordedProgress().verdict()).isEqualTo(MoveProgress.Verdict.TAKEN_BACK);
        assertThat(recordedProgress().reason()).isEqualTo(MoveProgress.Reason.SLOW);
    }

    @Test
    void failingVersionLosesTrafficDuringPlatformOutage() {
        orderMove();
        fleet.time().runFor(Duration.ofSeconds(50));
        fleet.table().setUnavailable(true);
        fleet.setPlatformDown(true);
        newVersionSidecars().forEach(sidecar -> sidecar.engine().setFailing(true));
        fleet.time().runFor(REACTION_TIME);
        int before = dispatchedTo("v2");
        fleet.time().runFor(Duration.ofSeconds(20));
        assertThat(dispatchedTo("v2")).isEqualTo(before);
        assertThat(fleet.counters().keySet()).anyMatch(count -> count.startsWith("suspended"));

        fleet.table().setUnavailable(false);
        fleet.time().runFor(Duration.ofSeconds(20));
        assertThat(recordedProgress().verdict()).isEqualTo(MoveProgress.Verdict.TAKEN_BACK);
    }

    @Test
    void newMoveResumesSuspendedVersion() {
        newVersionSidecars().forEach(sidecar -> sidecar.engine().setFailing(true));
        orderMove();
        fleet.time().runFor(Duration.ofSeconds(60));
        assertThat(recordedProgress().verdict()).isEqualTo(MoveProgress.Verdict.TAKEN_BACK);

        newVersionSidecars().forEach(sidecar -> sidecar.engine().setFailing(false));
        orderMove();
        fleet.time().runFor(MOVE_DURATION);
        assertThat(recordedProgress().verdict()).isEqualTo(MoveProgress.Verdict.DONE);
    }

    @Test
    void pausedControllerDoesNotOverwriteSuccessor() {
        orderMove();
        fleet.time().runFor(Duration.ofSeconds(15));
        VirtualRouter paused = controller();
        paused.setFrozen(true);
        fleet.time().runFor(Duration.ofSeconds(25));
        MoveProgress bySuccessor = recordedProgress();
        long fence = bySuccessor.fencingToken();
        paused.setFrozen(false);
        fleet.time().runFor(Duration.ofMillis(100));

        assertThat(fence).isGreaterThan(1);
        assertThat(recordedProgress().fencingToken()).isGreaterThanOrEqualTo(fence);
        assertThat(recordedProgress().stepNumber()).isGreaterThanOrEqualTo(bySuccessor.stepNumber());
        fleet.time().runFor(MOVE_DURATION);
        assertThat(recordedProgress().verdict()).isEqualTo(MoveProgress.Verdict.DONE);
    }

    @Test
    void moveFinishesDespiteLostWriteResponses() {
        orderMove();
        fleet.time().every(Duration.ofSeconds(2), () -> fleet.table().loseResponses(1));
        fleet.time().runFor(MOVE_DURATION);

        assertThat(recordedProgress().verdict()).isEqualTo(MoveProgress.Verdict.DONE);
    }

    private VirtualRouter controller() {
        return fleet.routers().stream()
                .filter(VirtualRouter::holdsControllerLease)
                .findFirst()
                .orElseThrow();
    }
}
