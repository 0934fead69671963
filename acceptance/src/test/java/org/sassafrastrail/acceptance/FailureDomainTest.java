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

/**
 * Tests that a failure domain gets no new requests within seconds of being taken out of service, and gets requests again
 * when it is back in service.
 */
class FailureDomainTest {

    private static final Duration REACTION_TIME = Duration.ofSeconds(3);
    private static final String RULES = RuleTexts.idempotentModel(1, 4, Map.of("guest", 1));
    private static final String RULES_NORTH_OUT = RULES.replace("domain north in", "domain north out");

    private final VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));

    @BeforeEach
    void startFleet() {
        IntStream.range(0, 3).forEach(number -> fleet.addRouter());
        List.of("north", "north", "south", "south", "west", "west").forEach(domain -> fleet.addSidecar("v1", domain));
        fleet.publishRules(RULES);
        fleet.time().runFor(Duration.ofSeconds(1));
        fleet.onRequestEnded(request -> submit());
        IntStream.range(0, 60).forEach(number -> submit());
        fleet.time().runFor(Duration.ofSeconds(20));
    }

    private VirtualRequest submit() {
        int router = fleet.outcomes().size() % 3;
        return fleet.submit(fleet.routers().get(router), "guest", 100, 100);
    }

    private List<VirtualSidecar> northSidecars() {
        return fleet.sidecars().stream()
                .filter(sidecar -> sidecar.profile().failureDomain().value().equals("north"))
                .toList();
    }

    private int requestsRunInNorth() {
        return northSidecars().stream()
                .mapToInt(sidecar -> sidecar.engine().runsByRequest().size())
                .sum();
    }

    @Test
    void domainOutOfServiceGetsNoNewRequestsAndReturnsWithoutLoss() {
        fleet.publishRules(RULES_NORTH_OUT);
        fleet.time().runFor(REACTION_TIME);
        int runs = requestsRunInNorth();
        int endedBefore = fleet.outcomes().size();
        fleet.time().runFor(Duration.ofSeconds(10));

        assertThat(requestsRunInNorth()).isEqualTo(runs);
        int endedWhileOut = fleet.outcomes().size() - endedBefore;
        fleet.publishRules(RULES);
        fleet.time().runFor(Duration.ofSeconds(10));
        assertThat(requestsRunInNorth()).isGreaterThan(runs);
        assertThat(fleet.outcomes().values()).containsOnly("finished");
        System.out.println("ended in 10 s while a third of the fleet was out of service: " + endedWhileOut);
    }

    @Test
    void thawedNodesSendNoNewRequestsToDomainOutOfService() {
        VirtualSidecar frozen = northSidecars().get(0);
        frozen.setFrozen(true);
        fleet.routers().get(0).setFrozen(true);
        fleet.time().runFor(Duration.ofMillis(500));
        fleet.publishRules(RULES_NORTH_OUT);
        fleet.time().runFor(Duration.ofSeconds(5));
        int runs = requestsRunInNorth();
        frozen.setFrozen(false);
        fleet.routers().get(0).setFrozen(false);
        fleet.time().runFor(Duration.ofSeconds(5));

        assertThat(requestsRunInNorth()).isEqualTo(runs);
    }

    @Test
    void thawedRouterAndSidecarConfirmRulesBeforeNewRequests() {
        VirtualSidecar frozen = northSidecars().get(0);
        fleet.sidecars().stream()
                .filter(sidecar -> sidecar != frozen)
                .forEach(sidecar -> fleet.cutLink(fleet.routers().get(0), sidecar));
        frozen.setFrozen(true);
        fleet.routers().get(0).setFrozen(true);
        fleet.time().runFor(Duration.ofMillis(500));
        fleet.publishRules(RULES_NORTH_OUT);
        fleet.time().runFor(Duration.ofSeconds(5));
        int runs = frozen.engine().runsByRequest().size();
        fleet.routers().get(0).setFrozen(false);
        frozen.setFrozen(false);
        fleet.time().runFor(Duration.ofSeconds(5));

        assertThat(frozen.engine().runsByRequest().size()).isEqualTo(runs);
    }
}
