package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.fleet.RuleTexts;
import org.sassafrastrail.acceptance.fleet.VirtualFleet;
import org.sassafrastrail.acceptance.fleet.VirtualRouter;

import static org.assertj.core.api.Assertions.assertThat;

/** Capacity does not idle while work waits, also when little waits and all of it at one router. */
class IdleCapacityTest {

    private static final int SIDECARS = 6;
    private static final int WARM = 4;
    private static final double IDLE_TARGET = 0.02;
    private static final Duration SAMPLE = Duration.ofMillis(7);

    @Test
    void freePlacesAreFewWhileLittleWorkWaitsAtOneRouter() {
        VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
        IntStream.range(0, 3).forEach(number -> fleet.addRouter());
        List<String> domains = List.of("north", "south", "west");
        IntStream.range(0, SIDECARS).forEach(number -> fleet.addSidecar("v1", domains.get(number % 3)));
        fleet.accept(RuleTexts.model(1, WARM, Map.of("guest", 1, "other", 1)));
        fleet.time().runFor(Duration.ofSeconds(1));
        VirtualRouter router = fleet.routers().get(0);
        fleet.onEnd(request -> fleet.submit(router, request.account(), 100, 100));
        IntStream.range(0, SIDECARS * WARM + 4)
                .forEach(number -> fleet.submit(router, number % 2 == 0 ? "guest" : "other", 100, 100));
        fleet.time().runFor(Duration.ofSeconds(20));

        long[] places = new long[2];
        fleet.time().every(SAMPLE, () -> {
            boolean waits = router.state().queues().size() > 0;
            int busy = fleet.sidecars().stream()
                    .mapToInt(sidecar -> sidecar.engine().running())
                    .sum();
            places[0] += waits ? SIDECARS * WARM - busy : 0;
            places[1] += waits ? SIDECARS * WARM : 0;
        });
        int dispatched = fleet.counts().get("dispatched");
        int returned = fleet.counts().getOrDefault("returned NO_DEMAND", 0);
        fleet.time().runFor(Duration.ofSeconds(60));
        double idle = (double) places[0] / places[1];
        int used = fleet.counts().get("dispatched") - dispatched;
        System.out.printf(
                "free places while work waits: %.4f; grants returned for each one used: %.3f%n",
                idle, (double) (fleet.counts().getOrDefault("returned NO_DEMAND", 0) - returned) / used);

        assertThat(idle).isLessThanOrEqualTo(IDLE_TARGET);
    }
}
