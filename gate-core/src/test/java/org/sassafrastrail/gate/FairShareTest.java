package org.sassafrastrail.gate;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the shares of client accounts on a fleet of the size planned after its growth, in virtual time. */
class FairShareTest {

    private static final int GATEWAYS = 22;
    private static final int ENGINES = 28;
    private static final int SMALL_ACCOUNTS = 15;
    private static final int SECONDS = 16;
    private static final double MIN_SHARE = 0.5;
    private static final double NEVER = SECONDS;

    static final GatewayLimits LIMITS = new GatewayLimits(
            80,
            0.25,
            0.4,
            8,
            0.4,
            Duration.ofMillis(300),
            0.14,
            50,
            1,
            3,
            0.07,
            35,
            3,
            Duration.ofSeconds(2),
            2,
            Duration.ofMinutes(10),
            Duration.ofMillis(4),
            GatewayDriver.LIMITS.drain());

    /**
     * Guards against FAIR: an account was served less than half of its demand while another was served many times as
     * much. Two accounts surge in turn, and the callers of some accounts connect to only one or two gateways.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void backloggedAccountGetsAtLeastHalfOfFairShareDuringSurges(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(LIMITS, GATEWAYS, ENGINES, seed);
        List<Integer> allGateways = IntStream.range(0, GATEWAYS).boxed().toList();
        fleet.addAccount(steady("two-gateways", List.of(2, 6), 150));
        fleet.addAccount(steady("one-gateway", List.of(11), 75));
        fleet.addAccount(new SimulatedFleet.Account("first-hot", allGateways, 60, 3.5, 11.4, 7.6));
        fleet.addAccount(steady("another-gateway", List.of(5), 50));
        fleet.addAccount(new SimulatedFleet.Account("second-hot", allGateways, 40, 9.5, NEVER, 11));
        fleet.addAccount(steady("wide", allGateways, 30));
        fleet.addAccount(steady("narrower", allGateways, 20));
        IntStream.range(0, SMALL_ACCOUNTS)
                .forEach(number ->
                        fleet.addAccount(steady("small-" + number, List.of(number, (number + 7) % GATEWAYS), 4)));
        fleet.runUntil(SECONDS);
        assertThat(new FairShareAudit(fleet.requests(), SECONDS)
                        .backlogs()
                        .filter(backlog -> backlog.share() < MIN_SHARE))
                .isEmpty();
    }

    private static SimulatedFleet.Account steady(String name, List<Integer> gateways, double perSecond) {
        return new SimulatedFleet.Account(name, gateways, perSecond, NEVER, NEVER, 1);
    }
}
