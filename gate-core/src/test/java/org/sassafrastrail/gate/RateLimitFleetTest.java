package org.sassafrastrail.gate;

import java.util.OptionalDouble;
import java.util.function.IntUnaryOperator;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that all gateways together keep to the limit that an upstream names, and use it. Guards against LIMIT. */
class RateLimitFleetTest {

    private static final double WINDOW_SECONDS = 4;
    private static final double SETTLING_SECONDS = 3;
    private static final double NAMED_AT = 1;
    private static final double END = 14;

    /** The part of the limit that is used while more is asked for. */
    private static final double MIN_USED = 0.8;

    private static final IntUnaryOperator ANY = draw -> draw;

    private static LimitedFleet fleet(int gateways, double limit, long seed) {
        LimitedFleet fleet = new LimitedFleet(gateways, seed);
        fleet.setLimit(second -> second < NAMED_AT ? OptionalDouble.empty() : OptionalDouble.of(limit));
        return fleet;
    }

    private static double allowed(double limit) {
        return 1.5 * WINDOW_SECONDS * limit + 5;
    }

    private static void assertKept(LimitedFleet fleet, double limit) {
        fleet.runUntil(END);
        assertThat(fleet.mostInWindow(WINDOW_SECONDS, NAMED_AT + SETTLING_SECONDS, END))
                .isLessThanOrEqualTo((long) allowed(limit));
    }

    private static void assertUsed(LimitedFleet fleet, double limit, double from) {
        assertThat(fleet.arrivals(from, END)).isGreaterThanOrEqualTo((long) (MIN_USED * limit * (END - from)));
    }

    @ParameterizedTest
    @CsvSource({"5, 11.7", "22, 11.7", "360, 11.7", "22, 2", "360, 0.4", "5, 0", "22, 150"})
    void limitIsKeptAndUsedWhereverCallersCome(int gateways, double limit) {
        LimitedFleet fleet = fleet(gateways, limit, 1);
        fleet.send(3 * limit + 20, 0, END, ANY);
        assertKept(fleet, limit);
        assertUsed(fleet, limit, NAMED_AT + SETTLING_SECONDS);
    }

    /** A gateway that had no traffic to the upstream gets it all a second after the limit was first named. */
    @ParameterizedTest
    @CsvSource({"5, 11.7", "22, 11.7", "360, 11.7", "360, 2"})
    void limitIsKeptAndUsedWhereAllTrafficComesToOtherGateways(int gateways, double limit) {
        LimitedFleet fleet = fleet(gateways, limit, 2);
        fleet.send(3 * limit + 20, 0, NAMED_AT + 1, draw -> 0);
        fleet.send(3 * limit + 20, NAMED_AT + 1, 8, draw -> 1);
        fleet.send(3 * limit + 20, 8, END, draw -> 2);
        assertKept(fleet, limit);
        assertUsed(fleet, limit, NAMED_AT + SETTLING_SECONDS);
    }

    /** What was not used in the seconds before is not owed in the next. */
    @ParameterizedTest
    @CsvSource({"5, 11.7", "22, 11.7", "360, 11.7", "22, 2"})
    void limitIsKeptInBurstAfterQuietTime(int gateways, double limit) {
        LimitedFleet fleet = fleet(gateways, limit, 3);
        fleet.send(2, 0, 9, ANY);
        fleet.send(50 * limit + 200, 9, 9.5, ANY);
        assertKept(fleet, limit);
    }

    @ParameterizedTest
    @CsvSource({"5, 11.7", "22, 11.7", "22, 2"})
    void limitIsKeptWhileMessagesAreLate(int gateways, double limit) {
        LimitedFleet fleet = fleet(gateways, limit, 4);
        fleet.setLinkSeconds(0.2);
        fleet.send(3 * limit + 20, 0, END, ANY);
        assertKept(fleet, limit);
    }

    @ParameterizedTest
    @CsvSource({"5, 11.7", "22, 11.7", "22, 2"})
    void limitIsKeptAndUsedWhileGatewaysRestart(int gateways, double limit) {
        LimitedFleet fleet = fleet(gateways, limit, 5);
        fleet.send(3 * limit + 20, 0, END, ANY);
        for (int gateway = 0; gateway < gateways; gateway++) {
            fleet.restart(gateway, 5 + gateway * 4.0 / gateways);
        }
        assertKept(fleet, limit);
        assertUsed(fleet, limit, NAMED_AT + SETTLING_SECONDS);
    }

    @ParameterizedTest
    @CsvSource({"5, 11.7", "22, 11.7", "22, 2"})
    void limitIsKeptWhileGatewayIsCutOffFromOthers(int gateways, double limit) {
        LimitedFleet fleet = fleet(gateways, limit, 6);
        fleet.send(3 * limit + 20, 0, END, ANY);
        fleet.cut(1, 6);
        assertKept(fleet, limit);
        assertUsed(fleet, limit, NAMED_AT + SETTLING_SECONDS);
    }

    @ParameterizedTest
    @CsvSource({"22, 11, 11.7", "22, 11, 2", "22, 4, 11.7"})
    void limitIsKeptAndUsedWhileFleetIsSplit(int gateways, int first, double limit) {
        LimitedFleet fleet = fleet(gateways, limit, 9);
        fleet.send(3 * limit + 20, 0, END, ANY);
        fleet.split(first, 6);
        assertKept(fleet, limit);
        assertUsed(fleet, limit, NAMED_AT + SETTLING_SECONDS);
    }

    /** The larger part of a fleet that is split must not issue everything beside what the smaller part issues. */
    @ParameterizedTest
    @CsvSource({"22, 12, 150", "22, 16, 150", "22, 17, 150"})
    void limitIsKeptInBurstWhileFleetIsSplit(int gateways, int first, double limit) {
        LimitedFleet fleet = fleet(gateways, limit, 10);
        fleet.send(20, 0, 9, ANY);
        fleet.send(10 * limit, 9, END, ANY);
        fleet.split(first, 6);
        assertKept(fleet, limit);
    }

    @Test
    void limitIsFollowedAsItRisesAndFalls() {
        LimitedFleet fleet = new LimitedFleet(5, 7);
        fleet.setLimit(second -> OptionalDouble.of(second < 5 || second >= 10 ? 4 : 30));
        fleet.send(100, 0, 18, ANY);
        fleet.runUntil(18);
        assertThat(fleet.arrivals(6, 10)).isBetween((long) (MIN_USED * 30 * 4), (long) allowed(30));
        assertThat(fleet.arrivals(11, 15)).isBetween((long) (MIN_USED * 4 * 4), (long) allowed(4));
    }

    /** An upstream that takes nothing still gets what it needs to say that the limit is over. */
    @ParameterizedTest
    @CsvSource({"0", "0.1", "11.7"})
    void allRequestsAreServedSoonAfterLimitIsOver(double limit) {
        LimitedFleet fleet = new LimitedFleet(5, 8);
        fleet.setLimit(second -> second < 6 ? OptionalDouble.of(limit) : OptionalDouble.empty());
        fleet.send(40, 0, 20, ANY);
        fleet.runUntil(12);
        long refusedBefore = fleet.refused();
        fleet.runUntil(20);
        assertThat(fleet.refused()).isEqualTo(refusedBefore);
        assertThat(fleet.arrivals(12, 20)).isGreaterThan(250);
    }
}
