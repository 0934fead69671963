package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.fleet.FairnessScenario;
import org.sassafrastrail.acceptance.fleet.RuleTexts;
import org.sassafrastrail.acceptance.fleet.VirtualFleet;
import org.sassafrastrail.acceptance.fleet.VirtualRouter;
import org.sassafrastrail.fairness.FairnessPolicy;
import org.sassafrastrail.fairness.FirstComeFirstServedPolicy;
import org.sassafrastrail.fairness.LeastServicePolicy;
import org.sassafrastrail.sidecar.core.SidecarTimings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the service gap stays within its bound through partitions, restarts and idle periods, and that a flood of
 * requests from one account does not starve another.
 */
class FairnessUnderFaultsTest {

    private static final Duration SHARING_INTERVAL = Duration.ofMillis(100);
    private static final Duration FLOOD_DURATION = Duration.ofSeconds(40);

    @Test
    void serviceGapStaysWithinBoundDuringFaults() {
        Map<String, Consumer<VirtualFleet>> faultsByName = new TreeMap<>(Map.of(
                "partitioned and rejoined", FairnessUnderFaultsTest::partitionRouter,
                "sidecar restarted empty", FairnessUnderFaultsTest::restartSidecars));

        faultsByName.forEach((name, faults) -> {
            FairnessScenario.Result result =
                    new FairnessScenario(new LeastServicePolicy(), SHARING_INTERVAL, true, faults).run();
            System.out.printf("%-32s %s%n", name, result);
            assertThat(result.largestServiceGap()).as(name).isLessThanOrEqualTo(result.bound());
        });
    }

    private static void partitionRouter(VirtualFleet fleet) {
        VirtualRouter router = fleet.routers().get(1);
        Stream.of(3, 4).map(fleet.sidecars()::get).forEach(sidecar -> {
            fleet.time().after(Duration.ofSeconds(20), () -> fleet.cutLink(router, sidecar));
            fleet.time().after(Duration.ofSeconds(60), () -> fleet.restoreLink(router, sidecar));
        });
    }

    private static void restartSidecars(VirtualFleet fleet) {
        fleet.time().after(Duration.ofSeconds(20), () -> fleet.sidecars().get(3).restart());
        fleet.time().after(Duration.ofSeconds(40), () -> fleet.sidecars().get(4).restart());
    }

    @Test
    void idleAccountAccumulatesNoCredit() {
        VirtualFleet fleet = startFleetWithOneRouter(new LeastServicePolicy());
        VirtualRouter router = fleet.routers().get(0);
        fleet.onRequestEnded(request -> fleet.submit(router, request.account(), 100, 100));
        submit(fleet, "busy", 20, 100);
        fleet.time().runFor(Duration.ofSeconds(60));

        long busyBefore = fleet.servedTokens("busy");
        submit(fleet, "returning", 20, 100);
        fleet.time().runFor(Duration.ofSeconds(30));

        long busy = fleet.servedTokens("busy") - busyBefore;
        long gap = Math.abs(busy - fleet.servedTokens("returning"));
        System.out.println("after an idle period: busy " + busy + ", returning " + fleet.servedTokens("returning"));
        assertThat(gap).isLessThanOrEqualTo((8 + 1) * 100L);
    }

    @Test
    void floodDoesNotStarveSmallAccount() {
        Duration leastService = longestQueueingTimeInFlood(new LeastServicePolicy());
        Duration firstCome = longestQueueingTimeInFlood(new FirstComeFirstServedPolicy());

        System.out.println("longest queueing time of the small account in a flood: " + leastService.toMillis()
                + " ms; first come first served: " + firstCome.toMillis() + " ms");
        assertThat(leastService).isLessThan(Duration.ofSeconds(2));
        assertThat(firstCome).isGreaterThan(leastService.multipliedBy(5));
    }

    private static Duration longestQueueingTimeInFlood(FairnessPolicy policy) {
        VirtualFleet fleet = startFleetWithOneRouter(policy);
        VirtualRouter router = fleet.routers().get(0);
        submit(fleet, "busy", 900, 100);
        fleet.time().every(Duration.ofSeconds(1), () -> fleet.submit(router, "returning", 100, 100));
        fleet.time().runFor(FLOOD_DURATION);
        return fleet.longestQueueingTimes().getOrDefault("returning", FLOOD_DURATION);
    }

    private static void submit(VirtualFleet fleet, String account, int count, long cost) {
        Stream.generate(() -> fleet.routers().get(0))
                .limit(count)
                .forEach(router -> fleet.submit(router, account, cost, cost));
    }

    private static VirtualFleet startFleetWithOneRouter(FairnessPolicy policy) {
        VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
        fleet.addRouter();
        fleet.addSidecar("v1", "north", policy, SidecarTimings.STANDARD);
        fleet.addSidecar("v1", "south", policy, SidecarTimings.STANDARD);
        fleet.publishRules(RuleTexts.idempotentModel(1, 4, Map.of("busy", 1, "returning", 1)));
        fleet.time().runFor(Duration.ofSeconds(1));
        return fleet;
    }
}
