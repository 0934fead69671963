package org.sassafrastrail.gate;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * Two accounts that surge at the same time, the callers of the narrow one connected to few gateways and those of the wide one
 * to all, beside small steady accounts with one gateway each.
 *
 * @param gateways the number of gateways
 * @param engines the number of engines
 * @param narrowGateways the number of gateways of the narrow account
 * @param narrowDemand what the narrow account requests, as a multiple of half the fleet's capacity
 * @param seed the seed
 */
record FewGatewaysScenario(int gateways, int engines, int narrowGateways, double narrowDemand, long seed) {

    private static final int SURGE_FROM = 4;
    private static final int SURGE_UNTIL = 12;
    private static final int SECONDS = 13;
    private static final int SMALL_ACCOUNTS = 8;
    private static final double SMALL_REQUESTS_PER_SECOND = 4;
    private static final double ENGINE_REQUESTS_PER_SECOND = 32;
    private static final double WIDE_DEMAND = 5;
    private static final double STEADY_SHARE = 0.1;

    /**
     * What the accounts were served.
     *
     * @param narrow the worst share of the narrow account
     * @param wide the worst share of the account at all gateways
     * @param small the worst share of a small account
     * @param served the tokens served to all accounts during the surge
     */
    record Result(double narrow, double wide, double small, long served) {}

    /** Plays the scenario on a fleet with a disturbance. */
    Result run(Consumer<SimulatedFleet> disturbance) {
        SimulatedFleet fleet = new SimulatedFleet(FairShareTest.LIMITS, gateways, engines, seed);
        disturbance.accept(fleet);
        fleet.addAccount(surging("narrow", range(1, narrowGateways), narrowDemand));
        fleet.addAccount(surging("wide", range(0, gateways), WIDE_DEMAND));
        IntStream.range(0, SMALL_ACCOUNTS)
                .forEach(number -> fleet.addAccount(new SimulatedFleet.Account(
                        "small-" + number,
                        List.of(number % gateways),
                        SMALL_REQUESTS_PER_SECOND,
                        SECONDS,
                        SECONDS,
                        1)));
        fleet.runUntil(SECONDS);
        return result(fleet);
    }

    private SimulatedFleet.Account surging(String name, List<Integer> atGateways, double demand) {
        double perSecond = demand * engines * ENGINE_REQUESTS_PER_SECOND / 2;
        return new SimulatedFleet.Account(
                name, atGateways, perSecond * STEADY_SHARE, SURGE_FROM, SURGE_UNTIL, 1 / STEADY_SHARE);
    }

    private List<Integer> range(int from, int count) {
        return IntStream.range(from, from + count)
                .mapToObj(number -> number % gateways)
                .toList();
    }

    private static Result result(SimulatedFleet fleet) {
        FairShareAudit audit = new FairShareAudit(fleet.requests(), SECONDS);
        return new Result(
                worst(audit, "narrow"::equals),
                worst(audit, "wide"::equals),
                worst(audit, name -> name.startsWith("small")),
                audit.served(SURGE_FROM, SURGE_UNTIL));
    }

    private static double worst(FairShareAudit audit, Predicate<String> account) {
        return audit.backlogs()
                .filter(backlog -> account.test(backlog.account()))
                .mapToDouble(FairShareAudit.Backlog::share)
                .min()
                .orElse(1);
    }
}
