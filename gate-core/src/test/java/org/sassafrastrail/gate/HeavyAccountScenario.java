package org.sassafrastrail.gate;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * One account whose callers are all connected to one gateway and that asks for seven times its share, beside thirty small ones,
 * with late and lost reports. Refused callers return within a second.
 *
 * @param gateways the number of gateways
 * @param engines the number of engines
 * @param load what all accounts request, as a multiple of the engines' capacity
 * @param seed the seed
 */
record HeavyAccountScenario(int gateways, int engines, double load, long seed) {

    private static final int SECONDS = 9;
    private static final int WARM_UP_SECONDS = 2;
    private static final int SMALL_ACCOUNTS = 30;
    private static final double HEAVY_FACTOR = 7;
    private static final double ENGINE_REQUESTS_PER_SECOND = 32;
    private static final double REPORT_MILLISECONDS = 60;
    private static final double LOST_REPORTS = 0.02;
    private static final double LATENCY_TARGET_MILLISECONDS = 500;
    private static final double MILLISECONDS = 1000;

    /**
     * What the accounts were served.
     *
     * @param begunInTime the tokens of requests that began within the latency target
     * @param small the worst share of a small account
     */
    record Result(long begunInTime, double small) {}

    /** Plays the scenario. */
    Result run() {
        SimulatedFleet fleet = new SimulatedFleet(FairShareTest.LIMITS, gateways, engines, seed);
        fleet.setReportDelay(REPORT_MILLISECONDS);
        fleet.setLostReports(LOST_REPORTS);
        double perSecond = engines * ENGINE_REQUESTS_PER_SECOND / (SMALL_ACCOUNTS + HEAVY_FACTOR);
        fleet.addAccount(account("heavy", 0, HEAVY_FACTOR * perSecond));
        IntStream.range(0, SMALL_ACCOUNTS)
                .forEach(number -> fleet.addAccount(account("small-" + number, number % gateways, perSecond)));
        fleet.runUntil(SECONDS);
        return new Result(begunInTime(fleet), worstSmall(fleet));
    }

    /** Returns an account whose number of sessions, and with it the engines' cache hits, is the same at each load. */
    private SimulatedFleet.Account account(String name, int gateway, double perSecond) {
        return new SimulatedFleet.Account(name, List.of(gateway), perSecond, 0, SECONDS, load);
    }

    private static long begunInTime(SimulatedFleet fleet) {
        return fleet.requests().stream()
                .filter(request -> request.arrivedAt() >= WARM_UP_SECONDS * MILLISECONDS)
                .filter(request -> request.startedAt() - request.arrivedAt() <= LATENCY_TARGET_MILLISECONDS)
                .mapToLong(request -> request.prompt().cost())
                .sum();
    }

    /** Returns the least of what small accounts were served over the whole time, as a part of their max-min fair shares. */
    private static double worstSmall(SimulatedFleet fleet) {
        Map<String, Double> demands = tokens(fleet, request -> request.refusals() == 0);
        Map<String, Double> served = tokens(fleet, request -> request.startedAt() < SECONDS * MILLISECONDS);
        double level = MaxMinLevel.of(
                List.copyOf(demands.values()),
                served.values().stream().mapToDouble(Double::doubleValue).sum());
        return demands.keySet().stream()
                .filter(account -> account.startsWith("small"))
                .mapToDouble(account -> served.getOrDefault(account, 0.0) / Math.min(demands.get(account), level))
                .min()
                .orElseThrow();
    }

    private static Map<String, Double> tokens(SimulatedFleet fleet, Predicate<SimulatedFleet.Request> counted) {
        return fleet.requests().stream()
                .filter(request -> request.arrivedAt() >= WARM_UP_SECONDS * MILLISECONDS)
                .filter(counted)
                .collect(Collectors.groupingBy(
                        SimulatedFleet.Request::account,
                        Collectors.summingDouble(request -> request.prompt().cost())));
    }
}
