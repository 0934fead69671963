package org.sassafrastrail.acceptance.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.sassafrastrail.fairness.FairnessPolicy;
import org.sassafrastrail.messages.LedgerUpdate;
import org.sassafrastrail.sidecar.core.SidecarTimings;

/**
 * Always-backlogged accounts spread unevenly over routers, and sidecars that see different ones: one account floods, one
 * gives hints that are ten times too small, weights differ, costs are known only at the end.
 */
public final class FairnessScenario {

    private static final long SEED = 42;
    private static final int ROUTERS = 3;
    private static final int SIDECARS = 6;
    private static final int WARM = 4;
    private static final long LARGEST_COST = 400;
    private static final Duration TOKEN = Duration.ofMillis(5);
    private static final Duration WARM_UP = Duration.ofSeconds(20);
    private static final Duration MEASURED = Duration.ofSeconds(120);
    private static final Duration SAMPLE = Duration.ofMillis(250);
    private static final Duration RELAY = Duration.ofMillis(100);
    private static final Duration TICKS_AND_LINKS = Duration.ofMillis(75);
    private static final Map<String, Integer> WEIGHTS =
            Map.of("flood", 1, "small-hints", 1, "large", 4, "middle", 2, "plain-a", 1, "plain-b", 1);

    private final FairnessPolicy policy;
    private final Duration sharing;
    private final boolean shared;
    private final Consumer<VirtualFleet> disturbance;
    private final SplittableRandom random = new SplittableRandom(SEED);

    public FairnessScenario(FairnessPolicy policy, Duration sharing, boolean shared) {
        this(policy, sharing, shared, fleet -> {});
    }

    /** A scenario with something that happens while it is measured. */
    public FairnessScenario(
            FairnessPolicy policy, Duration sharing, boolean shared, Consumer<VirtualFleet> disturbance) {
        this.policy = policy;
        this.sharing = sharing;
        this.shared = shared;
        this.disturbance = disturbance;
    }

    /**
     * What was measured.
     *
     * @param largestGap the largest difference in weighted service, in tokens of an account of weight one
     * @param bound what it may be at most, in the same unit
     * @param utilisation the share of all places that ran a request
     * @param longestWaitOfSmall the longest wait of a small account, in milliseconds
     * @param returnedPerDispatch how many grants came back for each one that was used
     */
    public record Result(
            long largestGap, long bound, double utilisation, long longestWaitOfSmall, double returnedPerDispatch) {}

    public Result run() {
        VirtualFleet fleet = new VirtualFleet(TOKEN);
        IntStream.range(0, ROUTERS).forEach(number -> fleet.addRouter());
        SidecarTimings timings = new SidecarTimings(
                Duration.ofSeconds(1), Duration.ofSeconds(1), sharing, Duration.ofMillis(500), Duration.ofSeconds(1));
        List<String> domains = List.of("north", "south", "west");
        IntStream.range(0, SIDECARS)
                .forEach(number -> fleet.addSidecar("v1", domains.get(number % domains.size()), policy, timings));
        if (!shared) {
            fleet.lose(LedgerUpdate.class::isInstance);
        }
        spreadUnevenly(fleet);
        fleet.accept(RuleTexts.model(1, WARM, WEIGHTS));
        fleet.time().runFor(Duration.ofSeconds(1));
        backlog(fleet);
        fleet.time().runFor(WARM_UP);
        return measure(fleet);
    }

    /** Half of the sidecars have no link to one router, so no sidecar sees the same accounts. */
    private static void spreadUnevenly(VirtualFleet fleet) {
        IntStream.range(0, SIDECARS / 2)
                .forEach(number -> fleet.cut(
                        fleet.routers().get(number % ROUTERS), fleet.sidecars().get(number)));
    }

    private void backlog(VirtualFleet fleet) {
        Map<String, Integer> home =
                Map.of("flood", 0, "small-hints", 1, "large", 2, "middle", 0, "plain-a", 1, "plain-b", 2);
        WEIGHTS.keySet().stream().sorted().forEach(account -> IntStream.range(0, depth(account))
                .forEach(number -> submit(fleet, account, home.get(account))));
        fleet.onEnd(request -> submit(fleet, request.account(), home.get(request.account())));
    }

    private static int depth(String account) {
        return account.equals("flood") ? 300 : 40;
    }

    private void submit(VirtualFleet fleet, String account, int router) {
        long cost = random.nextLong(20, LARGEST_COST + 1);
        long hint = account.equals("small-hints") ? Math.max(1, cost / 10) : cost;
        fleet.submit(fleet.routers().get(router), account, hint, cost);
    }

    private Result measure(VirtualFleet fleet) {
        Map<String, Long> start = normalised(fleet);
        long[] largest = new long[1];
        double[] busy = new double[2];
        Map<String, Duration> waits = fleet.longestWaits();
        waits.clear();
        fleet.time().every(SAMPLE, () -> {
            largest[0] = Math.max(largest[0], gap(start, normalised(fleet)));
            busy[0] += fleet.sidecars().stream()
                    .mapToInt(sidecar -> sidecar.engine().running())
                    .sum();
            busy[1] += (double) SIDECARS * WARM;
        });
        disturbance.accept(fleet);
        fleet.time().runFor(MEASURED);
        int dispatched = fleet.counts().getOrDefault("dispatched", 0);
        int returned = fleet.counts().entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("returned"))
                .mapToInt(Map.Entry::getValue)
                .sum();
        return new Result(
                largest[0],
                bound(),
                busy[0] / busy[1],
                waits.getOrDefault("plain-a", Duration.ZERO).toMillis(),
                (double) returned / dispatched);
    }

    /**
     * The stated bound for accounts of the least weight: what can be running and not yet counted, one request more, and
     * what the fleet gives while totals travel.
     */
    private long bound() {
        long places = (long) SIDECARS * WARM;
        Duration staleness = sharing.plus(RELAY).plus(TICKS_AND_LINKS);
        long whileTravelling = places * staleness.toMillis() / TOKEN.toMillis();
        return (places + 1) * LARGEST_COST + whileTravelling;
    }

    private static long gap(Map<String, Long> start, Map<String, Long> now) {
        Map<String, Long> grown = now.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue() - start.get(entry.getKey())));
        return grown.values().stream().mapToLong(Long::longValue).max().orElse(0)
                - grown.values().stream().mapToLong(Long::longValue).min().orElse(0);
    }

    private static Map<String, Long> normalised(VirtualFleet fleet) {
        Map<String, Long> result = new HashMap<>();
        WEIGHTS.forEach((account, weight) -> result.put(account, fleet.service(account) / weight));
        return result;
    }
}
