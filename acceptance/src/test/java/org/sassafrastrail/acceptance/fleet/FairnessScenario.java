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
 * Measures the fairness of a simulated fleet whose accounts are always backlogged and spread unevenly over the routers, so
 * that each sidecar sees different accounts. One account floods the fleet, one sends cost hints that are ten times too
 * small, weights differ, and the cost of a request is known only when it ends.
 */
public final class FairnessScenario {

    private static final long SEED = 42;
    private static final int ROUTERS = 3;
    private static final int SIDECARS = 6;
    private static final int WARM_LIMIT = 4;
    private static final long MAXIMUM_COST = 400;
    private static final Duration TIME_PER_TOKEN = Duration.ofMillis(5);
    private static final Duration WARM_UP_DURATION = Duration.ofSeconds(20);
    private static final Duration MEASUREMENT_DURATION = Duration.ofSeconds(120);
    private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(250);
    private static final Duration RELAY_INTERVAL = Duration.ofMillis(100);
    private static final Duration TICK_AND_LINK_DELAY = Duration.ofMillis(75);
    private static final Map<String, Integer> WEIGHTS =
            Map.of("flood", 1, "small-hints", 1, "large", 4, "middle", 2, "plain-a", 1, "plain-b", 1);

    private final FairnessPolicy policy;
    private final Duration sharingInterval;
    private final boolean totalsShared;
    private final Consumer<VirtualFleet> faults;
    private final SplittableRandom random = new SplittableRandom(SEED);

    public FairnessScenario(FairnessPolicy policy, Duration sharingInterval, boolean totalsShared) {
        this(policy, sharingInterval, totalsShared, fleet -> {});
    }

    /** Creates a scenario that injects faults into the fleet when the measurement starts. */
    public FairnessScenario(
            FairnessPolicy policy, Duration sharingInterval, boolean totalsShared, Consumer<VirtualFleet> faults) {
        this.policy = policy;
        this.sharingInterval = sharingInterval;
        this.totalsShared = totalsShared;
        this.faults = faults;
    }

    /**
     * The result of a measurement.
     *
     * @param largestServiceGap the largest difference in weighted service between two accounts, in tokens of an account of
     *     weight one
     * @param bound the upper bound of the service gap, in the same unit
     * @param utilisation the share of all slots that ran a request
     * @param longestQueueingMilliseconds the longest queueing time of a small account, in milliseconds
     * @param grantsReturnedPerDispatch the number of grants returned unused for each dispatched request
     */
    public record Result(
            long largestServiceGap,
            long bound,
            double utilisation,
            long longestQueueingMilliseconds,
            double grantsReturnedPerDispatch) {}

    public Result run() {
        VirtualFleet fleet = new VirtualFleet(TIME_PER_TOKEN);
        IntStream.range(0, ROUTERS).forEach(number -> fleet.addRouter());
        SidecarTimings timings = new SidecarTimings(
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                sharingInterval,
                Duration.ofMillis(500),
                Duration.ofSeconds(1));
        List<String> domains = List.of("north", "south", "west");
        IntStream.range(0, SIDECARS)
                .forEach(number -> fleet.addSidecar("v1", domains.get(number % domains.size()), policy, timings));
        if (!totalsShared) {
            fleet.dropMessages(LedgerUpdate.class::isInstance);
        }
        cutLinksUnevenly(fleet);
        fleet.publishRules(RuleTexts.idempotentModel(1, WARM_LIMIT, WEIGHTS));
        fleet.time().runFor(Duration.ofSeconds(1));
        submitBacklog(fleet);
        fleet.time().runFor(WARM_UP_DURATION);
        return measure(fleet);
    }

    /** Cuts one router link of each sidecar in half of the fleet, so that the sidecars see different accounts. */
    private static void cutLinksUnevenly(VirtualFleet fleet) {
        IntStream.range(0, SIDECARS / 2)
                .forEach(number -> fleet.cutLink(
                        fleet.routers().get(number % ROUTERS), fleet.sidecars().get(number)));
    }

    private void submitBacklog(VirtualFleet fleet) {
        Map<String, Integer> homeRouters =
                Map.of("flood", 0, "small-hints", 1, "large", 2, "middle", 0, "plain-a", 1, "plain-b", 2);
        WEIGHTS.keySet().stream().sorted().forEach(account -> IntStream.range(0, backlogSize(account))
                .forEach(number -> submit(fleet, account, homeRouters.get(account))));
        fleet.onRequestEnded(request -> submit(fleet, request.account(), homeRouters.get(request.account())));
    }

    private static int backlogSize(String account) {
        return account.equals("flood") ? 300 : 40;
    }

    private void submit(VirtualFleet fleet, String account, int router) {
        long cost = random.nextLong(20, MAXIMUM_COST + 1);
        long hint = account.equals("small-hints") ? Math.max(1, cost / 10) : cost;
        fleet.submit(fleet.routers().get(router), account, hint, cost);
    }

    private Result measure(VirtualFleet fleet) {
        Map<String, Long> start = weightedService(fleet);
        long[] largestGap = new long[1];
        double[] slotSamples = new double[2];
        Map<String, Duration> queueingTimes = fleet.longestQueueingTimes();
        queueingTimes.clear();
        fleet.time().every(SAMPLE_INTERVAL, () -> {
            largestGap[0] = Math.max(largestGap[0], serviceGap(start, weightedService(fleet)));
            slotSamples[0] += fleet.sidecars().stream()
                    .mapToInt(sidecar -> sidecar.engine().runningCount())
                    .sum();
            slotSamples[1] += (double) SIDECARS * WARM_LIMIT;
        });
        faults.accept(fleet);
        fleet.time().runFor(MEASUREMENT_DURATION);
        int dispatched = fleet.counters().getOrDefault("dispatched", 0);
        int returned = fleet.counters().entrySet().stream()
                .filter(entry -> entry.getKey().startsWith("returned"))
                .mapToInt(Map.Entry::getValue)
                .sum();
        return new Result(
                largestGap[0],
                bound(),
                slotSamples[0] / slotSamples[1],
                queueingTimes.getOrDefault("plain-a", Duration.ZERO).toMillis(),
                (double) returned / dispatched);
    }

    /**
     * Returns the bound for accounts of the lowest weight: the tokens of all requests that can be running and not yet
     * counted, those of one more request, and the tokens that the fleet serves while totals propagate.
     */
    private long bound() {
        long slots = (long) SIDECARS * WARM_LIMIT;
        Duration staleness = sharingInterval.plus(RELAY_INTERVAL).plus(TICK_AND_LINK_DELAY);
        long servedWhileTotalsPropagate = slots * staleness.toMillis() / TIME_PER_TOKEN.toMillis();
        return (slots + 1) * MAXIMUM_COST + servedWhileTotalsPropagate;
    }

    private static long serviceGap(Map<String, Long> start, Map<String, Long> now) {
        Map<String, Long> increases = now.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue() - start.get(entry.getKey())));
        return increases.values().stream().mapToLong(Long::longValue).max().orElse(0)
                - increases.values().stream().mapToLong(Long::longValue).min().orElse(0);
    }

    private static Map<String, Long> weightedService(VirtualFleet fleet) {
        Map<String, Long> result = new HashMap<>();
        WEIGHTS.forEach((account, weight) -> result.put(account, fleet.servedTokens(account) / weight));
        return result;
    }
}
