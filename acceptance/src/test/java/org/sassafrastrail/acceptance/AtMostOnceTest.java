package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sassafrastrail.acceptance.fleet.RuleTexts;
import org.sassafrastrail.acceptance.fleet.VirtualFleet;
import org.sassafrastrail.acceptance.fleet.VirtualRouter;
import org.sassafrastrail.acceptance.fleet.VirtualSidecar;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that non-idempotent requests run at most once under seeded random link cuts, freezes, restarts and crashes. */
class AtMostOnceTest {

    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(8);
    private static final int REQUESTS = 400;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noRequestRunsTwiceAndNoRefusedRequestRuns(long seed) {
        VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
        IntStream.range(0, 2).forEach(number -> fleet.addRouter());
        List.of("north", "south", "west").forEach(domain -> fleet.addSidecar("v1", domain));
        fleet.publishRules(RuleTexts.nonIdempotentModel(2, 4, Map.of("desk", 1)));
        fleet.time().runFor(Duration.ofSeconds(3));

        SplittableRandom random = new SplittableRandom(seed);
        fleet.time().every(Duration.ofMillis(300), () -> injectRandomFault(fleet, random));
        IntStream.range(0, REQUESTS).forEach(number -> fleet.time().after(Duration.ofMillis(100L * number), () -> {
            VirtualRouter router = fleet.routers().get(number % 2);
            fleet.submit(router, "desk", 20, 20, false, MAXIMUM_WAIT);
        }));
        fleet.time().runFor(Duration.ofSeconds(80));

        Map<String, Integer> runs = runsByRequest(fleet);
        assertThat(runs.values()).allMatch(times -> times == 1);
        fleet.outcomes().forEach((request, outcome) -> {
            if (outcome.startsWith("refused")) {
                assertThat(runs).as(outcome).doesNotContainKey(request.value());
            }
            if (outcome.equals("finished")) {
                assertThat(runs).containsKey(request.value());
            }
        });
        assertThat(fleet.outcomes()).hasSize(REQUESTS);
        System.out.println("seed " + seed + " " + countOutcomes(fleet));
    }

    private static void injectRandomFault(VirtualFleet fleet, SplittableRandom random) {
        VirtualRouter router = fleet.routers().get(random.nextInt(2));
        VirtualSidecar sidecar = fleet.sidecars().get(random.nextInt(3));
        Duration duration = Duration.ofMillis(random.nextInt(50, 2500));
        switch (random.nextInt(6)) {
            case 0 -> {
                fleet.cutLink(router, sidecar);
                fleet.time().after(duration, () -> fleet.restoreLink(router, sidecar));
            }
            case 1 -> {
                sidecar.setFrozen(true);
                fleet.time().after(duration, () -> sidecar.setFrozen(false));
            }
            case 2 -> {
                if (!sidecar.isFrozen()) {
                    sidecar.restart();
                }
            }
            case 3 -> {
                sidecar.engine().crash(sidecar);
                sidecar.engine().setCold(false);
            }
            default -> fleet.time().after(duration, () -> {});
        }
    }

    private static Map<String, Integer> runsByRequest(VirtualFleet fleet) {
        Map<String, Integer> runs = new HashMap<>();
        fleet.sidecars().forEach(sidecar -> sidecar.engine()
                .runsByRequest()
                .forEach((request, times) -> runs.merge(request, times, Integer::sum)));
        return runs;
    }

    private static Map<String, Integer> countOutcomes(VirtualFleet fleet) {
        Map<String, Integer> counts = new TreeMap<>();
        fleet.outcomes().values().forEach(outcome -> counts.merge(outcome, 1, Integer::sum));
        return counts;
    }
}
