package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.fleet.RuleTexts;
import org.sassafrastrail.acceptance.fleet.VirtualFleet;
import org.sassafrastrail.acceptance.fleet.VirtualSidecar;
import org.sassafrastrail.durable.MoveProgressStore;
import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.VersionName;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests a seeded batch of version moves, half of them to faulty versions. */
class VersionMoveBatchTest {

    private static final int MOVES = 24;
    private static final Duration MOVE_DURATION = Duration.ofSeconds(90);
    private static final String RULES = RuleTexts.idempotentModel(2, 8, Map.of("guest", 1));

    /** The result of one move, and the share and duration of traffic to the new version after its faults began. */
    private record MoveResult(
            boolean faulty, MoveProgress.Verdict verdict, double shareAfterFault, Duration faultToLastDispatch) {}

    @Test
    void healthyVersionsFinishOnTimeAndFaultyOnesAreRolledBack() {
        List<MoveResult> results =
                LongStream.range(0, MOVES).mapToObj(this::runMove).toList();

        long healthy = results.stream().filter(result -> !result.faulty()).count();
        long finished = results.stream()
                .filter(result -> !result.faulty() && result.verdict() == MoveProgress.Verdict.DONE)
                .count();
        long rolledBack = results.stream()
                .filter(result -> result.faulty() && result.verdict() == MoveProgress.Verdict.TAKEN_BACK)
                .count();
        double largestShare = results.stream()
                .filter(MoveResult::faulty)
                .mapToDouble(MoveResult::shareAfterFault)
                .max()
                .orElse(0);
        long longestExposure = results.stream()
                .filter(MoveResult::faulty)
                .mapToLong(result -> result.faultToLastDispatch().toMillis())
                .max()
                .orElse(0);
        System.out.printf(
                "moves: healthy versions finished on time %d of %d, faulty versions rolled back %d of %d, largest share of"
                        + " requests to a faulty version after its faults began %.4f, last dispatch at most %d ms"
                        + " after they began%n",
                finished, healthy, rolledBack, MOVES - healthy, largestShare, longestExposure);
        assertThat(finished).isEqualTo(healthy);
        assertThat(rolledBack).isEqualTo(MOVES - healthy);
    }

    private MoveResult runMove(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
        IntStream.range(0, 3).forEach(number -> fleet.addRouter());
        List<String> domains = List.of("north", "south", "west");
        domains.forEach(domain -> fleet.addSidecar("v1", domain));
        domains.forEach(domain -> fleet.addSidecar("v2", domain));
        fleet.publishRules(RULES);
        fleet.time().runFor(Duration.ofSeconds(10));
        IntStream.range(0, 3).forEach(number -> fleet.time()
                .every(
                        Duration.ofMillis(random.nextInt(60, 120)),
                        () -> fleet.submit(fleet.routers().get(number), "guest", 20, 20)));
        Instant dueTime = fleet.time().now().plus(MOVE_DURATION);
        fleet.publishRules(RULES + "move " + VirtualFleet.TARGET + " from v1 to v2 by " + dueTime + " # test\n");

        boolean faulty = seed % 2 == 1;
        Duration faultDelay = Duration.ofSeconds(random.nextInt(0, 60));
        fleet.time().runFor(faultDelay);
        int totalBefore = dispatchedTotal(fleet);
        int newBefore = dispatchedToNewVersion(fleet);
        Instant faultStart = fleet.time().now();
        List<Instant> lastDispatchToNewVersion = new ArrayList<>(List.of(faultStart));
        if (faulty) {
            injectFault(fleet, random.nextInt(3));
            int[] dispatchedSoFar = {dispatchedToNewVersion(fleet)};
            fleet.time().every(Duration.ofMillis(50), () -> {
                if (dispatchedToNewVersion(fleet) > dispatchedSoFar[0]) {
                    dispatchedSoFar[0] = dispatchedToNewVersion(fleet);
                    lastDispatchToNewVersion.set(0, fleet.time().now());
                }
            });
        }
        fleet.time().runFor(MOVE_DURATION.minus(faultDelay));
        MoveIdentifier move = new MoveIdentifier(
                new TargetName(VirtualFleet.TARGET), new VersionName("v1"), new VersionName("v2"), dueTime);
        MoveProgress recorded =
                new MoveProgressStore(fleet.table()).read(move).orElseThrow().progress();
        double shareAfterFault = (double) (dispatchedToNewVersion(fleet) - newBefore)
                / Math.max(1, dispatchedTotal(fleet) - totalBefore);
        return new MoveResult(
                faulty,
                recorded.verdict(),
                shareAfterFault,
                Duration.between(faultStart, lastDispatchToNewVersion.get(0)));
    }

    private static void injectFault(VirtualFleet fleet, int kind) {
        List<VirtualSidecar> faulty = fleet.sidecars().stream()
                .filter(sidecar -> sidecar.profile().version().value().equals("v2"))
                .toList();
        switch (kind) {
            case 0 -> faulty.forEach(sidecar -> sidecar.engine().setFailing(true));
            case 1 -> faulty.forEach(sidecar -> sidecar.engine().setFirstTokenDelay(Duration.ofMillis(600)));
            default -> faulty.get(0).engine().setFailing(true);
        }
    }

    private static int dispatchedToNewVersion(VirtualFleet fleet) {
        return fleet.counters().getOrDefault("dispatched to v2", 0);
    }

    private static int dispatchedTotal(VirtualFleet fleet) {
        return fleet.counters().getOrDefault("dispatched", 0);
    }
}
