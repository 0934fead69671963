package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.fleet.RuleTexts;
import org.sassafrastrail.acceptance.fleet.VirtualFleet;
import org.sassafrastrail.acceptance.fleet.VirtualSidecar;
import org.sassafrastrail.fairness.LeastServicePolicy;
import org.sassafrastrail.sidecar.core.AdditiveIncreaseLimit;
import org.sassafrastrail.sidecar.core.ConcurrencyLimit;
import org.sassafrastrail.sidecar.core.GradientLimit;
import org.sassafrastrail.sidecar.core.SidecarTimings;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that a cold upstream never runs more requests than its cold limit. */
class ColdStartTest {

    private static final int COLD_LIMIT = 2;
    private static final int WARM_LIMIT = 8;

    private VirtualFleet startFleet(ConcurrencyLimit limit) {
        VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
        fleet.addRouter();
        fleet.addSidecar("v1", "north", new LeastServicePolicy(), SidecarTimings.STANDARD, limit);
        fleet.publishRules(RuleTexts.idempotentModel(COLD_LIMIT, WARM_LIMIT, Map.of("guest", 1)));
        fleet.time().runFor(Duration.ofMillis(100));
        fleet.onRequestEnded(request -> fleet.submit(fleet.routers().get(0), "guest", 100, 100));
        return fleet;
    }

    private static void submitLoad(VirtualFleet fleet) {
        IntStream.range(0, 50).forEach(number -> fleet.submit(fleet.routers().get(0), "guest", 100, 100));
    }

    @Test
    void coldUpstreamStaysWithinColdLimitThenWarmsUp() {
        Map<String, ConcurrencyLimit> limits = new LinkedHashMap<>();
        limits.put("additive", new AdditiveIncreaseLimit());
        limits.put("gradient", new GradientLimit());
        limits.forEach((name, limit) -> {
            VirtualFleet fleet = startFleet(limit);
            VirtualSidecar sidecar = fleet.sidecars().get(0);
            sidecar.engine().setCold(true);
            submitLoad(fleet);
            fleet.time().runFor(Duration.ofSeconds(10));
            assertThat(sidecar.engine().maximumConcurrency()).as(name).isLessThanOrEqualTo(COLD_LIMIT);
            sidecar.engine().setCold(false);
            int before = fleet.outcomes().size();
            fleet.time().runFor(Duration.ofSeconds(20));
            assertThat(sidecar.engine().maximumConcurrency()).as(name).isEqualTo(WARM_LIMIT);
            System.out.println(name + ": requests ended in the 20 s after the cold start: "
                    + (fleet.outcomes().size() - before));
        });
    }

    @Test
    void suddenlyColdUpstreamIsLimitedAtOnce() {
        VirtualFleet fleet = startFleet(new AdditiveIncreaseLimit());
        VirtualSidecar sidecar = fleet.sidecars().get(0);
        submitLoad(fleet);
        fleet.time().runFor(Duration.ofSeconds(20));
        assertThat(sidecar.engine().maximumConcurrency()).isEqualTo(WARM_LIMIT);

        sidecar.engine().crash(sidecar);
        sidecar.engine().resetMaximumConcurrency();
        fleet.time().runFor(Duration.ofSeconds(10));

        assertThat(sidecar.engine().maximumConcurrency()).isLessThanOrEqualTo(COLD_LIMIT);
    }

    @Test
    void restartedSidecarCountsRequestsOfPreviousIncarnation() {
        VirtualFleet fleet = startFleet(new AdditiveIncreaseLimit());
        VirtualSidecar sidecar = fleet.sidecars().get(0);
        submitLoad(fleet);
        fleet.time().runFor(Duration.ofSeconds(20));
        sidecar.engine().setCold(true);
        fleet.time().runFor(Duration.ofSeconds(5));
        sidecar.engine().resetMaximumConcurrency();

        sidecar.restart();
        fleet.time().runFor(Duration.ofSeconds(10));

        assertThat(sidecar.engine().maximumConcurrency()).isLessThanOrEqualTo(COLD_LIMIT);
    }
}
