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

/** An upstream in a cold start never gets more than it can bear. */
class ColdStartTest {

    private static final int COLD = 2;
    private static final int WARM = 8;

    private VirtualFleet fleet(ConcurrencyLimit limit) {
        VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
        fleet.addRouter();
        fleet.addSidecar("v1", "north", new LeastServicePolicy(), SidecarTimings.STANDARD, limit);
        fleet.accept(RuleTexts.model(COLD, WARM, Map.of("guest", 1)));
        fleet.time().runFor(Duration.ofMillis(100));
        fleet.onEnd(request -> fleet.submit(fleet.routers().get(0), "guest", 100, 100));
        return fleet;
    }

    private static void load(VirtualFleet fleet) {
        IntStream.range(0, 50).forEach(number -> fleet.submit(fleet.routers().get(0), "guest", 100, 100));
    }

    @Test
    void aColdStartBearsOnlyTheColdLimitAndThenWarmsUp() {
        Map<String, ConcurrencyLimit> limits = new LinkedHashMap<>();
        limits.put("additive", new AdditiveIncreaseLimit());
        limits.put("gradient", new GradientLimit());
        limits.forEach((name, limit) -> {
            VirtualFleet fleet = fleet(limit);
            VirtualSidecar sidecar = fleet.sidecars().get(0);
            sidecar.engine().cold(true);
            load(fleet);
            fleet.time().runFor(Duration.ofSeconds(10));
            assertThat(sidecar.engine().mostAtOnce()).as(name).isLessThanOrEqualTo(COLD);
            sidecar.engine().cold(false);
            int before = fleet.endings().size();
            fleet.time().runFor(Duration.ofSeconds(20));
            assertThat(sidecar.engine().mostAtOnce()).as(name).isEqualTo(WARM);
            System.out.println(name + ": answers in the 20 s after the cold start: "
                    + (fleet.endings().size() - before));
        });
    }

    @Test
    void anEngineThatTurnsColdWithoutWarningIsSparedAtOnce() {
        VirtualFleet fleet = fleet(new AdditiveIncreaseLimit());
        VirtualSidecar sidecar = fleet.sidecars().get(0);
        load(fleet);
        fleet.time().runFor(Duration.ofSeconds(20));
        assertThat(sidecar.engine().mostAtOnce()).isEqualTo(WARM);

        sidecar.engine().fall(sidecar);
        sidecar.engine().forgetMost();
        fleet.time().runFor(Duration.ofSeconds(10));

        assertThat(sidecar.engine().mostAtOnce()).isLessThanOrEqualTo(COLD);
    }

    @Test
    void aRestartedSidecarCountsTheWorkThatItsEarlierLifeLeftBehind() {
        VirtualFleet fleet = fleet(new AdditiveIncreaseLimit());
        VirtualSidecar sidecar = fleet.sidecars().get(0);
        load(fleet);
        fleet.time().runFor(Duration.ofSeconds(20));
        sidecar.engine().cold(true);
        fleet.time().runFor(Duration.ofSeconds(5));
        sidecar.engine().forgetMost();

        sidecar.restart();
        fleet.time().runFor(Duration.ofSeconds(10));

        assertThat(sidecar.engine().mostAtOnce()).isLessThanOrEqualTo(COLD);
    }
}
