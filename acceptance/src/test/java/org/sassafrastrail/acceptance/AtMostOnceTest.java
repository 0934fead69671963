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

/** Requests that may not be repeated, under seeded cuts, freezes, restarts and falling upstreams. */
class AtMostOnceTest {

    private static final Duration PATIENCE = Duration.ofSeconds(8);
    private static final int REQUESTS = 400;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noRequestRunsTwiceAndNoRefusedOneRan(long seed) {
        VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
        IntStream.range(0, 2).forEach(number -> fleet.addRouter());
        List.of("north", "south", "west").forEach(domain -> fleet.addSidecar("v1", domain));
        fleet.accept(RuleTexts.unrepeatable(2, 4, Map.of("desk", 1)));
        fleet.time().runFor(Duration.ofSeconds(3));

        SplittableRandom random = new SplittableRandom(seed);
        fleet.time().every(Duration.ofMillis(300), () -> disturb(fleet, random));
        IntStream.range(0, REQUESTS).forEach(number -> fleet.time().after(Duration.ofMillis(100L * number), () -> {
            VirtualRouter router = fleet.routers().get(number % 2);
            fleet.submit(router, "desk", 20, 20, false, PATIENCE);
        }));
        fleet.time().runFor(Duration.ofSeconds(80));

        Map<String, Integer> runs = runs(fleet);
        assertThat(runs.values()).allMatch(times -> times == 1);
        fleet.endings().forEach((request, ending) -> {
            if (ending.startsWith("refused")) {
                assertThat(runs).as(ending).doesNotContainKey(request.value());
            }
            if (ending.equals("finished")) {
                assertThat(runs).containsKey(request.value());
            }
        });
        assertThat(fleet.endings()).hasSize(REQUESTS);
        System.out.println("seed " + seed + " " + summary(fleet));
    }

    private static void disturb(VirtualFleet fleet, SplittableRandom random) {
        VirtualRouter router = fleet.routers().get(random.nextInt(2));
        VirtualSidecar sidecar = fleet.sidecars().get(random.nextInt(3));
        Duration span = Duration.ofMillis(random.nextInt(50, 2500));
        switch (random.nextInt(6)) {
            case 0 -> {
                fleet.cut(router, sidecar);
                fleet.time().after(span, () -> fleet.heal(router, sidecar));
            }
            case 1 -> {
                sidecar.freeze(true);
                fleet.time().after(span, () -> sidecar.freeze(false));
            }
            case 2 -> {
                if (!sidecar.frozen()) {
                    sidecar.restart();
                }
            }
            case 3 -> {
                sidecar.engine().fall(sidecar);
                sidecar.engine().cold(false);
            }
            default -> fleet.time().after(span, () -> {});
        }
    }

    private static Map<String, Integer> runs(VirtualFleet fleet) {
        Map<String, Integer> runs = new HashMap<>();
        fleet.sidecars()
                .forEach(sidecar ->
                        sidecar.engine().runs().forEach((request, times) -> runs.merge(request, times, Integer::sum)));
        return runs;
    }

    private static Map<String, Integer> summary(VirtualFleet fleet) {
        Map<String, Integer> summary = new TreeMap<>();
        fleet.endings().values().forEach(ending -> summary.merge(ending, 1, Integer::sum));
        return summary;
    }
}
