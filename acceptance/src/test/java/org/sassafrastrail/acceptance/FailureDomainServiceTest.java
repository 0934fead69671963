package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.fleet.RuleTexts;
import org.sassafrastrail.acceptance.fleet.VirtualFleet;
import org.sassafrastrail.acceptance.fleet.VirtualSidecar;

import static org.assertj.core.api.Assertions.assertThat;

/** Service under a steady load while a third of the fleet leaves and returns through a cold start. */
class FailureDomainServiceTest {

    private static final long SEED = 11;
    private static final Duration PHASE = Duration.ofSeconds(40);
    private static final Duration FIRST_TOKEN_TARGET = Duration.ofMillis(1500);
    private static final double ARRIVALS_A_SECOND = 26;
    private static final long TOKENS = 100;
    private static final String IN = RuleTexts.model(1, 4, Map.of("guest", 1, "kitchen", 1));

    private final VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
    private final SplittableRandom random = new SplittableRandom(SEED);
    private List<Duration> waits = new ArrayList<>();
    private int submitted;

    @Test
    void waitsStayShortBeforeDuringAndAfter() {
        IntStream.range(0, 3).forEach(number -> fleet.addRouter());
        List.of("north", "north", "south", "south", "west", "west").forEach(domain -> fleet.addSidecar("v1", domain));
        fleet.accept(IN);
        fleet.onDispatch(wait -> waits.add(wait));
        fleet.time().runFor(Duration.ofSeconds(1));
        arrive();
        fleet.time().runFor(Duration.ofSeconds(30));

        Duration before = phase("before");
        fleet.accept(IN.replace("domain north in", "domain north out"));
        Duration during = phase("while a third of the fleet is out");
        north().forEach(sidecar -> sidecar.engine().fall(sidecar));
        fleet.accept(IN);
        fleet.time().after(Duration.ofSeconds(5), () -> north().forEach(
                        sidecar -> sidecar.engine().cold(false)));
        Duration after = phase("while it returns, cold at first");

        assertThat(List.of(before, during, after)).allMatch(wait -> wait.compareTo(FIRST_TOKEN_TARGET) < 0);
        assertThat(fleet.endings().values()).containsOnly("finished");
        assertThat(submitted - fleet.endings().size()).isLessThan(48);
    }

    private void arrive() {
        submitted++;
        fleet.submit(
                fleet.routers().get(random.nextInt(3)), random.nextBoolean() ? "guest" : "kitchen", TOKENS, TOKENS);
        long gap = Math.round(-Math.log(1 - random.nextDouble()) / ARRIVALS_A_SECOND * 1_000_000_000);
        fleet.time().after(Duration.ofNanos(gap), this::arrive);
    }

    private Duration phase(String name) {
        waits.clear();
        int submittedBefore = submitted;
        int endedBefore = fleet.endings().size();
        fleet.time().runFor(PHASE);
        List<Duration> sorted = waits.stream().sorted().toList();
        Duration ninetyFive = sorted.get(sorted.size() * 95 / 100);
        System.out.printf(
                "%-34s arrived %d, answered %d, waits at the median %d ms, at 95 in 100 %d ms, longest %d ms%n",
                name,
                submitted - submittedBefore,
                fleet.endings().size() - endedBefore,
                sorted.get(sorted.size() / 2).toMillis(),
                ninetyFive.toMillis(),
                sorted.get(sorted.size() - 1).toMillis());
        return ninetyFive;
    }

    private List<VirtualSidecar> north() {
        return fleet.sidecars().stream()
                .filter(sidecar -> sidecar.profile().failureDomain().value().equals("north"))
                .toList();
    }
}
