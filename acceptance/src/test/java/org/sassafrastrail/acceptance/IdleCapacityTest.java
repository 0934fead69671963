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

/** Tests that slots do not stay free while requests are queued, even if only a few are queued and all at one router. */
class IdleCapacityTest {

    private static final int SIDECARS = 6;
    private static final int WARM_LIMIT = 4;
    private static final double MAXIMUM_IDLE_SHARE = 0.02;
    private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(7);

    @Test
    void fewSlotsStayFreeWhileLittleWorkIsQueuedAtOneRouter() {
        VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
        IntStream.range(0, 3).forEach(number -> fleet.addRouter());
        List<String> domains = List.of("north", "south", "west");
        IntStream.range(0, SIDECARS).forEach(number -> fleet.addSidecar("v1", domains.get(number % 3)));
        fleet.publishRules(RuleTexts.idempotentModel(1, WARM_LIMIT, Map.of("guest", 1, "other", 1)));
        fleet.time().runFor(Duration.ofSeconds(1));
        VirtualRouter router = fleet.routers().get(0);
        fleet.onRequestEnded(request -> fleet.submit(router, request.account(), 100, 100));
        IntStream.range(0, SIDECARS * WARM_LIMIT + 4)
                .forEach(number -> fleet.submit(router, number % 2 == 0 ? "guest" : "other", 100, 100));
        fleet.time().runFor(Duration.ofSeconds(20));

        long[] slots = new long[2];
        fleet.time().every(SAMPLE_INTERVAL, () -> {
            boolean queued = router.state().queues().size() > 0;
            int busy = fleet.sidecars().stream()
                    .mapToInt(sidecar -> sidecar.engine().runningCount())
                    .sum();
            slots[0] += queued ? SIDECARS * WARM_LIMIT - busy : 0;
            slots[1] += queued ? SIDECARS * WARM_LIMIT : 0;
        });
        int dispatchedBefore = fleet.counters().get("dispatched");
        int returnedBefore = fleet.counters().getOrDefault("returned NO_DEMAND", 0);
        fleet.time().runFor(Duration.ofSeconds(60));
        double idleShare = (double) slots[0] / slots[1];
        int used = fleet.counters().get("dispatched") - dispatchedBefore;
        System.out.printf(
                "share of free slots while requests are queued: %.4f; grants returned per dispatch: %.3f%n",
                idleShare, (double) (fleet.counters().getOrDefault("returned NO_DEMAND", 0) - returnedBefore) / used);

        assertThat(idleShare).isLessThanOrEqualTo(MAXIMUM_IDLE_SHARE);
    }
}
