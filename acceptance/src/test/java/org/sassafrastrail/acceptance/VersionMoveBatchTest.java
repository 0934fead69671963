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

/** A seeded batch of moves, half of them to bad versions. */
class VersionMoveBatchTest {

    private static final int MOVES = 24;
    private static final Duration DUE = Duration.ofSeconds(90);
    private static final String RULES = RuleTexts.model(2, 8, Map.of("guest", 1));

    /** How one move ended. */
    private record Ending(boolean bad, MoveProgress.Verdict verdict, double share, Duration faultToLast) {}

    @Test
    void goodVersionsFinishOnTimeAndBadOnesAreTakenBack() {
        List<Ending> endings = LongStream.range(0, MOVES).mapToObj(this::move).toList();

        long good = endings.stream().filter(ending -> !ending.bad()).count();
        long finished = endings.stream()
                .filter(ending -> !ending.bad() && ending.verdict() == MoveProgress.Verdict.DONE)
                .count();
        long takenBack = endings.stream()
                .filter(ending -> ending.bad() && ending.verdict() == MoveProgress.Verdict.TAKEN_BACK)
                .count();
        double largestShare = endings.stream()
                .filter(Ending::bad)
                .mapToDouble(Ending::share)
                .max()
                .orElse(0);
        long longest = endings.stream()
                .filter(Ending::bad)
                .mapToLong(ending -> ending.faultToLast().toMillis())
                .max()
                .orElse(0);
        System.out.printf(
                "moves: good finished on time %d of %d, bad taken back %d of %d, largest share of traffic a bad one had"
                        + " after its faults began %.4f, last dispatch at most %d ms after they began%n",
                finished, good, takenBack, MOVES - good, largestShare, longest);
        assertThat(finished).isEqualTo(good);
        assertThat(takenBack).isEqualTo(MOVES - good);
    }

    private Ending move(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
        IntStream.range(0, 3).forEach(number -> fleet.addRouter());
        List<String> domains = List.of("north", "south", "west");
        domains.forEach(domain -> fleet.addSidecar("v1", domain));
        domains.forEach(domain -> fleet.addSidecar("v2", domain));
        fleet.accept(RULES);
        fleet.time().runFor(Duration.ofSeconds(10));
        IntStream.range(0, 3).forEach(number -> fleet.time()
                .every(
                        Duration.ofMillis(random.nextInt(60, 120)),
                        () -> fleet.submit(fleet.routers().get(number), "guest", 20, 20)));
        Instant due = fleet.time().now().plus(DUE);
        fleet.accept(RULES + "move " + VirtualFleet.TARGET + " from v1 to v2 by " + due + " # test\n");

        boolean bad = seed % 2 == 1;
        Duration turn = Duration.ofSeconds(random.nextInt(0, 60));
        fleet.time().runFor(turn);
        int before = total(fleet);
        int newBefore = toNew(fleet);
        Instant faults = fleet.time().now();
        List<Instant> lastToNew = new ArrayList<>(List.of(faults));
        if (bad) {
            turnBad(fleet, random.nextInt(3));
            int[] seen = {toNew(fleet)};
            fleet.time().every(Duration.ofMillis(50), () -> {
                if (toNew(fleet) > seen[0]) {
                    seen[0] = toNew(fleet);
                    lastToNew.set(0, fleet.time().now());
                }
            });
        }
        fleet.time().runFor(DUE.minus(turn));
        MoveIdentifier move = new MoveIdentifier(
                new TargetName(VirtualFleet.TARGET), new VersionName("v1"), new VersionName("v2"), due);
        MoveProgress recorded =
                new MoveProgressStore(fleet.table()).read(move).orElseThrow().progress();
        double share = (double) (toNew(fleet) - newBefore) / Math.max(1, total(fleet) - before);
        return new Ending(bad, recorded.verdict(), share, Duration.between(faults, lastToNew.get(0)));
    }

    private static void turnBad(VirtualFleet fleet, int kind) {
        List<VirtualSidecar> bad = fleet.sidecars().stream()
                .filter(sidecar -> sidecar.profile().version().value().equals("v2"))
                .toList();
        switch (kind) {
            case 0 -> bad.forEach(sidecar -> sidecar.engine().failing(true));
            case 1 -> bad.forEach(sidecar -> sidecar.engine().firstTokenDelay(Duration.ofMillis(600)));
            default -> bad.get(0).engine().failing(true);
        }
    }

    private static int toNew(VirtualFleet fleet) {
        return fleet.counts().getOrDefault("dispatched to v2", 0);
    }

    private static int total(VirtualFleet fleet) {
        return fleet.counts().getOrDefault("dispatched", 0);
    }
}
