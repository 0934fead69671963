package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.fleet.RuleTexts;
import org.sassafrastrail.acceptance.fleet.VirtualFleet;
import org.sassafrastrail.acceptance.fleet.VirtualRequest;
import org.sassafrastrail.acceptance.fleet.VirtualSidecar;

import static org.assertj.core.api.Assertions.assertThat;

/** A failure domain that operators take out gets no new work within seconds, and comes back through a cold start. */
class FailureDomainTest {

    private static final Duration FEW_SECONDS = Duration.ofSeconds(3);
    private static final String IN = RuleTexts.model(1, 4, Map.of("guest", 1));
    private static final String OUT = IN.replace("domain north in", "domain north out");

    private final VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));

    @BeforeEach
    void startFleet() {
        IntStream.range(0, 3).forEach(number -> fleet.addRouter());
        List.of("north", "north", "south", "south", "west", "west").forEach(domain -> fleet.addSidecar("v1", domain));
        fleet.accept(IN);
        fleet.time().runFor(Duration.ofSeconds(1));
        fleet.onEnd(request -> submit());
        IntStream.range(0, 60).forEach(number -> submit());
        fleet.time().runFor(Duration.ofSeconds(20));
    }

    private VirtualRequest submit() {
        int place = fleet.endings().size() % 3;
        return fleet.submit(fleet.routers().get(place), "guest", 100, 100);
    }

    private List<VirtualSidecar> north() {
        return fleet.sidecars().stream()
                .filter(sidecar -> sidecar.profile().failureDomain().value().equals("north"))
                .toList();
    }

    private int runsInNorth() {
        return north().stream()
                .mapToInt(sidecar -> sidecar.engine().runs().size())
                .sum();
    }

    @Test
    void noNewWorkAndNothingLostAndBackAgain() {
        fleet.accept(OUT);
        fleet.time().runFor(FEW_SECONDS);
        int runs = runsInNorth();
        int endedBefore = fleet.endings().size();
        fleet.time().runFor(Duration.ofSeconds(10));

        assertThat(runsInNorth()).isEqualTo(runs);
        int endedWhileOut = fleet.endings().size() - endedBefore;
        fleet.accept(IN);
        fleet.time().runFor(Duration.ofSeconds(10));
        assertThat(runsInNorth()).isGreaterThan(runs);
        assertThat(fleet.endings().values()).containsOnly("finished");
        System.out.println("ended in 10 s while a third of the fleet was out: " + endedWhileOut);
    }

    @Test
    void neitherAFrozenSidecarNorAFrozenRouterBringsNewWorkThere() {
        VirtualSidecar frozen = north().get(0);
        frozen.freeze(true);
        fleet.routers().get(0).freeze(true);
        fleet.time().runFor(Duration.ofMillis(500));
        fleet.accept(OUT);
        fleet.time().runFor(Duration.ofSeconds(5));
        int runs = runsInNorth();
        frozen.freeze(false);
        fleet.routers().get(0).freeze(false);
        fleet.time().runFor(Duration.ofSeconds(5));

        assertThat(runsInNorth()).isEqualTo(runs);
    }

    @Test
    void aFrozenPairThatThawsTogetherConfirmsBeforeItGoesOn() {
        VirtualSidecar frozen = north().get(0);
        fleet.sidecars().stream()
                .filter(sidecar -> sidecar != frozen)
                .forEach(sidecar -> fleet.cut(fleet.routers().get(0), sidecar));
        frozen.freeze(true);
        fleet.routers().get(0).freeze(true);
        fleet.time().runFor(Duration.ofMillis(500));
        fleet.accept(OUT);
        fleet.time().runFor(Duration.ofSeconds(5));
        int runs = frozen.engine().runs().size();
        fleet.routers().get(0).freeze(false);
        frozen.freeze(false);
        fleet.time().runFor(Duration.ofSeconds(5));

        assertThat(frozen.engine().runs().size()).isEqualTo(runs);
    }
}
