package org.sassafrastrail.gate;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Shares of client accounts on a fleet of the grown size, in virtual time. */
class FairShareTest {

    private static final int GATEWAYS = 22;
    private static final int ENGINES = 28;
    private static final int SMALL_ACCOUNTS = 15;
    private static final int SECONDS = 16;
    private static final double LEAST_SHARE = 0.5;
    private static final double NEVER = SECONDS;

    private static final GatewayLimits LIMITS = new GatewayLimits(
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
            3,
            Duration.ofSeconds(2),
            Duration.ofMillis(4),
            Duration.ofSeconds(1),
            Duration.ofSeconds(5));

    /**
     * Guards against FAIR: an account got less than half of what it asked for while another got many times as much. Two
     * accounts in turn ask for many times their usual; the callers of some come to one or two gateways only.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void noAccountThatWaitsGetsLessThanHalfOfItsShareWhileOthersAskForManyTimesTheirs(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(LIMITS, GATEWAYS, ENGINES, seed);
        List<Integer> every = IntStream.range(0, GATEWAYS).boxed().toList();
        fleet.sends(steady("two-gateways", List.of(2, 6), 150));
        fleet.sends(steady("one-gateway", List.of(11), 75));
        fleet.sends(new SimulatedFleet.Account("first-hot", every, 60, 3.5, 11.4, 7.6));
        fleet.sends(steady("another-gateway", List.of(5), 50));
        fleet.sends(new SimulatedFleet.Account("second-hot", every, 40, 9.5, NEVER, 11));
        fleet.sends(steady("wide", every, 30));
        fleet.sends(steady("narrower", every, 20));
        IntStream.range(0, SMALL_ACCOUNTS)
                .forEach(number -> fleet.sends(steady("small-" + number, List.of(number, (number + 7) % GATEWAYS), 4)));
        fleet.runUntil(SECONDS);
        assertThat(new ShareAudit(fleet.requests(), SECONDS).waiting().filter(waiting -> waiting.share() < LEAST_SHARE))
                .isEmpty();
    }

    private static SimulatedFleet.Account steady(String name, List<Integer> gateways, double perSecond) {
        return new SimulatedFleet.Account(name, gateways, perSecond, NEVER, NEVER, 1);
    }
}
