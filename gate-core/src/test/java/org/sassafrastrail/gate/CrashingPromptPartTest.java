package org.sassafrastrail.gate;

import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests requests under which engines crash, on fleets of several sizes, in virtual time. */
class CrashingPromptPartTest {

    private static final int SECONDS = 24;
    private static final double FROM = 4;
    private static final double UNTIL = 20;
    private static final double SHARE = 0.02;
    private static final double REQUESTS_PER_SECOND_AND_ENGINE = 25;
    private static final double NEVER = SECONDS;

    /** The users' bound, on the requests with the part that engines get once the part is to be known. */
    private static final int MAX_LATE_RUNS = 3;

    private static final int KNOWN_AFTER_CRASHES = 5;
    private static final double CONTACT_SECONDS = 3;
    private static final double MIN_SHARE_OF_USUAL = 0.5;

    private static final GatewayLimits LIMITS = FairShareTest.LIMITS;

    /**
     * Guards against BUDGET: requests with a part of their prompts in common, no two alike, crashed one engine after the
     * other. And against LOST: sound requests with the same first part were not served either.
     */
    @Test
    void requestsThatCrashEnginesAreKeptFromOthers() {
        LongStream.rangeClosed(1, 3).forEach(seed -> play(5, 13, 1, seed));
    }

    @Test
    void partThatCrashesEnginesIsToldFromPartsBesideIt() {
        LongStream.rangeClosed(1, 3).forEach(seed -> play(5, 13, 40, seed));
    }

    @Test
    void requestsThatCrashAllEnginesOfSmallFleetAreKeptFromThem() {
        LongStream.rangeClosed(1, 3).forEach(seed -> play(2, 3, 8, seed));
    }

    @Test
    void gatewaysOfLargeFleetLearnOfCrashesFromEachOther() {
        LongStream.rangeClosed(1, 2).forEach(seed -> play(22, 28, 1, seed));
    }

    private static void play(int gateways, int engines, int companions, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(LIMITS, gateways, engines, seed);
        List<Integer> allGateways = IntStream.range(0, gateways).boxed().toList();
        IntStream.range(0, 4)
                .forEach(number -> fleet.addAccount(new SimulatedFleet.Account(
                        "account-" + number,
                        allGateways,
                        engines * REQUESTS_PER_SECOND_AND_ENGINE / 4,
                        NEVER,
                        NEVER,
                        1)));
        fleet.addDeadlyPart(new SimulatedPrompts.DeadlyPart(FROM, UNTIL, SHARE, companions));
        fleet.runUntil(SECONDS);
        List<Double> crashes = fleet.crashes();
        double fifth = crashes.get(Math.min(KNOWN_AFTER_CRASHES, crashes.size()) - 1);
        assertThat(crashes).isNotEmpty();
        assertThat(fleet.deadlyRuns().stream().filter(time -> time > fifth + CONTACT_SECONDS))
                .as("requests with the part at engines, after crashes at %s", crashes)
                .hasSizeLessThanOrEqualTo(MAX_LATE_RUNS);
        assertThat(servedShare(fleet, fifth + 2 * CONTACT_SECONDS, UNTIL))
                .as("share of sound requests with the same first part that are served, after crashes at %s", crashes)
                .isGreaterThanOrEqualTo(MIN_SHARE_OF_USUAL * servedShare(fleet, 1, FROM));
    }

    /** Returns the share of first attempts with a first part in common with deadly requests whose response starts. */
    private static double servedShare(SimulatedFleet fleet, double from, double until) {
        Predicate<SimulatedFleet.Request> sound =
                request -> !SimulatedPrompts.isDeadly(request.prompt()) && request.refusals() == 0;
        return fleet.requests().stream()
                .filter(sound)
                .filter(request -> request.prompt().parts().get(0).identifier().startsWith("report-system-0"))
                .filter(request -> request.arrivedAt() >= seconds(from) && request.arrivedAt() < seconds(until))
                .mapToInt(request -> Double.isFinite(request.startedAt()) ? 1 : 0)
                .average()
                .orElseThrow();
    }

    private static double seconds(double seconds) {
        return seconds * Duration.ofSeconds(1).toMillis();
    }
}
