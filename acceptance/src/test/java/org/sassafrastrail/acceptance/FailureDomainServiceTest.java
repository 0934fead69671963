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

/**
 * Tests queueing times under a steady load while a failure domain with a third of the fleet goes out of service and comes
 * back through a cold start.
 */
class FailureDomainServiceTest {

    private static final long SEED = 11;
    private static final Duration PHASE_DURATION = Duration.ofSeconds(40);
    private static final Duration MAXIMUM_QUEUEING_TIME = Duration.ofMillis(1500);
    private static final double ARRIVALS_PER_SECOND = 26;
    private static final long TOKENS = 100;
    private static final String RULES = RuleTexts.idempotentModel(1, 4, Map.of("guest", 1, "kitchen", 1));

    private final VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
    private final SplittableRandom random = new SplittableRandom(SEED);
    private List<Duration> queueingTimes = new ArrayList<>();
    private int submitted;

    @Test
    void queueingTimesStayBelowTargetBeforeDuringAndAfterOutage() {
        IntStream.range(0, 3).forEach(number -> fleet.addRouter());
        List.of("north", "north", "south", "south", "west", "west").forEach(domain -> fleet.addSidecar("v1", domain));
        fleet.publishRules(RULES);
        fleet.onRequestDispatched(queueingTime -> queueingTimes.add(queueingTime));
        fleet.time().runFor(Duration.ofSeconds(1));
        submitPoissonArrivals();
        fleet.time().runFor(Duration.ofSeconds(30));

        Duration before = runPhase("before");
        fleet.publishRules(RULES.replace("domain north in", "domain north out"));
        Duration during = runPhase("a third of the fleet out of service");
        northSidecars().forEach(sidecar -> sidecar.engine().crash(sidecar));
        fleet.publishRules(RULES);
        fleet.time().after(Duration.ofSeconds(5), () -> northSidecars()
                .forEach(sidecar -> sidecar.engine().setCold(false)));
        Duration after = runPhase("back in service, cold at first");

        assertThat(List.of(before, during, after))
                .allMatch(queueingTime -> queueingTime.compareTo(MAXIMUM_QUEUEING_TIME) < 0);
        assertThat(fleet.outcomes().values()).containsOnly("finished");
        assertThat(submitted - fleet.outcomes().size()).isLessThan(48);
    }

    private void submitPoissonArrivals() {
        submitted++;
        fleet.submit(
                fleet.routers().get(random.nextInt(3)), random.nextBoolean() ? "guest" : "kitchen", TOKENS, TOKENS);
        long intervalNanos = Math.round(-Math.log(1 - random.nextDouble()) / ARRIVALS_PER_SECOND * 1_000_000_000);
        fleet.time().after(Duration.ofNanos(intervalNanos), this::submitPoissonArrivals);
    }

    private Duration runPhase(String name) {
        queueingTimes.clear();
        int submittedBefore = submitted;
        int endedBefore = fleet.outcomes().size();
        fleet.time().runFor(PHASE_DURATION);
        List<Duration> sorted = queueingTimes.stream().sorted().toList();
        Duration percentile95 = sorted.get(sorted.size() * 95 / 100);
        System.out.printf(
                "%-36s arrived %d, ended %d, queueing time: median %d ms, 95th percentile %d ms, maximum %d ms%n",
                name,
                submitted - submittedBefore,
                fleet.outcomes().size() - endedBefore,
                sorted.get(sorted.size() / 2).toMillis(),
                percentile95.toMillis(),
                sorted.get(sorted.size() - 1).toMillis());
        return percentile95;
    }

    private List<VirtualSidecar> northSidecars() {
        return fleet.sidecars().stream()
                .filter(sidecar -> sidecar.profile().failureDomain().value().equals("north"))
                .toList();
    }
}
