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

/** Good versions finish by their due time; bad ones get a small share, and none soon after their faults show. */
class VersionMoveTest {

    private static final String RULES = RuleTexts.model(2, 8, Map.of("guest", 1));
    private static final Duration DUE = Duration.ofSeconds(90);
    private static final Duration FEW_SECONDS = Duration.ofSeconds(3);
    private static final double SMALL_SHARE = 0.05;

    private final VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
    private MoveIdentifier move;

    @BeforeEach
    void startFleet() {
        IntStream.range(0, 3).forEach(number -> fleet.addRouter());
        List.of("north", "south", "west").forEach(domain -> fleet.addSidecar("v1", domain));
        List.of("north", "south", "west").forEach(domain -> fleet.addSidecar("v2", domain));
        fleet.accept(RULES);
        fleet.time().runFor(Duration.ofSeconds(10));
        IntStream.range(0, 12).forEach(number -> fleet.time().every(Duration.ofMillis(300), () -> submit(number)));
    }

    private void submit(int number) {
        fleet.submit(fleet.routers().get(number % 3), "guest", 20, 20);
    }

    private void order() {
        order(DUE);
    }

    private void order(Duration due) {
        Instant time = fleet.time().now().plus(due);
        move = new MoveIdentifier(
                new TargetName(VirtualFleet.TARGET), new VersionName("v1"), new VersionName("v2"), time);
        fleet.accept(RULES + "move " + VirtualFleet.TARGET + " from v1 to v2 by " + time + " # test\n");
    }

    private List<VirtualSidecar> newVersion() {
        return fleet.sidecars().stream()
                .filter(sidecar -> sidecar.profile().version().value().equals("v2"))
                .toList();
    }

    private int dispatchedTo(String version) {
        return fleet.counts().getOrDefault("dispatched to " + version, 0);
    }

    private MoveProgress recorded() {
        return new MoveProgressStore(fleet.table()).read(move).orElseThrow().progress();
    }

    @Test
    void aNewVersionGetsNothingBeforeItsMove() {
        fleet.time().runFor(Duration.ofSeconds(20));

        assertThat(dispatchedTo("v2")).isZero();
    }

    @Test
    void theShareOfANewVersionHoldsOverTheFleet() {
        order();
        int oldBefore = dispatchedTo("v1");
        fleet.time().runFor(Duration.ofSeconds(6));
        int all = dispatchedTo("v1") - oldBefore + dispatchedTo("v2");

        assertThat(recorded().share().perMille()).isBetween(1, 10);
        assertThat(dispatchedTo("v2")).isLessThanOrEqualTo(all / 100);
    }

    @Test
    void aGoodVersionFinishesByItsDueTime() {
        order();
        fleet.time().runFor(DUE);

        assertThat(recorded().verdict()).isEqualTo(MoveProgress.Verdict.DONE);
        int before = dispatchedTo("v1");
        fleet.time().runFor(FEW_SECONDS);
        assertThat(dispatchedTo("v1")).isEqualTo(before);
        assertThat(fleet.endings().values()).containsOnly("finished");
    }

    @Test
    void aVersionThatIsBadAtOnceIsTakenBack() {
        newVersion().forEach(sidecar -> sidecar.engine().failing(true));
        order();
        fleet.time().runFor(Duration.ofSeconds(60));

        assertThat(recorded().verdict()).isEqualTo(MoveProgress.Verdict.TAKEN_BACK);
        assertThat(recorded().reason()).isEqualTo(MoveProgress.Reason.FAILING);
        assertThat(dispatchedTo("v2")).isLessThan((int) (SMALL_SHARE * dispatchedTo("v1")));
    }

    @Test
    void aVersionThatTurnsBadLaterGetsNothingWithinSeconds() {
        order();
        fleet.time().runFor(Duration.ofSeconds(50));
        assertThat(dispatchedTo("v2")).isPositive();
        newVersion().forEach(sidecar -> sidecar.engine().failing(true));
        fleet.time().runFor(FEW_SECONDS);
        int before = dispatchedTo("v2");
        fleet.time().runFor(Duration.ofSeconds(20));

        assertThat(dispatchedTo("v2")).isEqualTo(before);
        assertThat(recorded().verdict()).isEqualTo(MoveProgress.Verdict.TAKEN_BACK);
    }

    @Test
    void aVersionThatTurnsSlowIsTakenBack() {
        order();
        fleet.time().runFor(Duration.ofSeconds(30));
        newVersion().forEach(sidecar -> sidecar.engine().firstTokenDelay(Duration.ofMillis(500)));
        fleet.time().runFor(Duration.ofSeconds(60));

        assertThat(recorded().verdict()).isEqualTo(MoveProgress.Verdict.TAKEN_BACK);
        assertThat(recorded().reason()).isEqualTo(MoveProgress.Reason.SLOW);
    }

    @Test
    void aBadVersionLosesItsTrafficWhileThePlatformIsDown() {
        order();
        fleet.time().runFor(Duration.ofSeconds(50));
        fleet.table().out(true);
        fleet.platformDown(true);
        newVersion().forEach(sidecar -> sidecar.engine().failing(true));
        fleet.time().runFor(FEW_SECONDS);
        int before = dispatchedTo("v2");
        fleet.time().runFor(Duration.ofSeconds(20));
        assertThat(dispatchedTo("v2")).isEqualTo(before);
        assertThat(fleet.counts().keySet()).anyMatch(count -> count.startsWith("suspended"));

        fleet.table().out(false);
        fleet.time().runFor(Duration.ofSeconds(20));
        assertThat(recorded().verdict()).isEqualTo(MoveProgress.Verdict.TAKEN_BACK);
    }

    @Test
    void aNewMoveTriesASuspendedVersionAgain() {
        newVersion().forEach(sidecar -> sidecar.engine().failing(true));
        order();
        fleet.time().runFor(Duration.ofSeconds(60));
        assertThat(recorded().verdict()).isEqualTo(MoveProgress.Verdict.TAKEN_BACK);

        newVersion().forEach(sidecar -> sidecar.engine().failing(false));
        order();
        fleet.time().runFor(DUE);
        assertThat(recorded().verdict()).isEqualTo(MoveProgress.Verdict.DONE);
    }

    @Test
    void aPausedControllerDoesNotOverwriteItsSuccessor() {
        order();
        fleet.time().runFor(Duration.ofSeconds(15));
        VirtualRouter paused = controller();
        paused.freeze(true);
        fleet.time().runFor(Duration.ofSeconds(25));
        MoveProgress byOther = recorded();
        long fence = byOther.fencingToken();
        paused.freeze(false);
        fleet.time().runFor(Duration.ofMillis(100));

        assertThat(fence).isGreaterThan(1);
        assertThat(recorded().fencingToken()).isGreaterThanOrEqualTo(fence);
        assertThat(recorded().stepNumber()).isGreaterThanOrEqualTo(byOther.stepNumber());
        fleet.time().runFor(DUE);
        assertThat(recorded().verdict()).isEqualTo(MoveProgress.Verdict.DONE);
    }

    @Test
    void lostAnswersToWritesDoNotStopAMove() {
        order();
        fleet.time().every(Duration.ofSeconds(2), () -> fleet.table().loseAnswers(1));
        fleet.time().runFor(DUE);

        assertThat(recorded().verdict()).isEqualTo(MoveProgress.Verdict.DONE);
    }

    private VirtualRouter controller() {
        return fleet.routers().stream()
                .filter(VirtualRouter::controls)
                .findFirst()
                .orElseThrow();
    }
}
