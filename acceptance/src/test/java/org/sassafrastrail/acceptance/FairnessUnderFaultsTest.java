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

/** The bound on the gap holds through partitions, restarts and returns from idleness; nobody starves in a flood. */
class FairnessUnderFaultsTest {

    private static final Duration SHARING = Duration.ofMillis(100);
    private static final Duration FLOOD = Duration.ofSeconds(40);

    @Test
    void theGapStaysWithinTheBoundThroughFaults() {
        Map<String, Consumer<VirtualFleet>> disturbances = new TreeMap<>(Map.of(
                "partitioned and rejoined", FairnessUnderFaultsTest::partition,
                "sidecar restarted empty", FairnessUnderFaultsTest::restart));

        disturbances.forEach((name, disturbance) -> {
            FairnessScenario.Result result =
                    new FairnessScenario(new LeastServicePolicy(), SHARING, true, disturbance).run();
            System.out.printf("%-32s %s%n", name, result);
            assertThat(result.largestGap()).as(name).isLessThanOrEqualTo(result.bound());
        });
    }

    private static void partition(VirtualFleet fleet) {
        VirtualRouter router = fleet.routers().get(1);
        Stream.of(3, 4).map(fleet.sidecars()::get).forEach(sidecar -> {
            fleet.time().after(Duration.ofSeconds(20), () -> fleet.cut(router, sidecar));
            fleet.time().after(Duration.ofSeconds(60), () -> fleet.heal(router, sidecar));
        });
    }

    private static void restart(VirtualFleet fleet) {
        fleet.time().after(Duration.ofSeconds(20), () -> fleet.sidecars().get(3).restart());
        fleet.time().after(Duration.ofSeconds(40), () -> fleet.sidecars().get(4).restart());
    }

    @Test
    void idlenessSavesUpNoCredit() {
        VirtualFleet fleet = oneRouter(new LeastServicePolicy());
        VirtualRouter router = fleet.routers().get(0);
        fleet.onEnd(request -> fleet.submit(router, request.account(), 100, 100));
        submit(fleet, "busy", 20, 100);
        fleet.time().runFor(Duration.ofSeconds(60));

        long busyBefore = fleet.service("busy");
        submit(fleet, "returning", 20, 100);
        fleet.time().runFor(Duration.ofSeconds(30));

        long busy = fleet.service("busy") - busyBefore;
        long gap = Math.abs(busy - fleet.service("returning"));
        System.out.println("returning from idleness: busy " + busy + ", returning " + fleet.service("returning"));
        assertThat(gap).isLessThanOrEqualTo((8 + 1) * 100L);
    }

    @Test
    void aFloodKeepsNobodyWaiting() {
        Duration fair = longestWaitInFlood(new LeastServicePolicy());
        Duration arrival = longestWaitInFlood(new FirstComeFirstServedPolicy());

        System.out.println("longest wait of the small account in a flood: " + fair.toMillis()
                + " ms; first come first served: " + arrival.toMillis() + " ms");
        assertThat(fair).isLessThan(Duration.ofSeconds(2));
        assertThat(arrival).isGreaterThan(fair.multipliedBy(5));
    }

    private static Duration longestWaitInFlood(FairnessPolicy policy) {
        VirtualFleet fleet = oneRouter(policy);
        VirtualRouter router = fleet.routers().get(0);
        submit(fleet, "busy", 900, 100);
        fleet.time().every(Duration.ofSeconds(1), () -> fleet.submit(router, "returning", 100, 100));
        fleet.time().runFor(FLOOD);
        return fleet.longestWaits().getOrDefault("returning", FLOOD);
    }

    private static void submit(VirtualFleet fleet, String account, int times, long cost) {
        Stream.generate(() -> fleet.routers().get(0))
                .limit(times)
                .forEach(router -> fleet.submit(router, account, cost, cost));
    }

    private static VirtualFleet oneRouter(FairnessPolicy policy) {
        VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
        fleet.addRouter();
        fleet.addSidecar("v1", "north", policy, SidecarTimings.STANDARD);
        fleet.addSidecar("v1", "south", policy, SidecarTimings.STANDARD);
        fleet.accept(RuleTexts.model(1, 4, Map.of("busy", 1, "returning", 1)));
        fleet.time().runFor(Duration.ofSeconds(1));
        return fleet;
    }
}
