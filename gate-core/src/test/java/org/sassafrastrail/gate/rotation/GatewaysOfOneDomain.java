package org.sassafrastrail.gate.rotation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntPredicate;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;

import org.sassafrastrail.model.FailureDomainName;

/**
 * Gateways of one failure domain in virtual time, behind a load balancer that checks each once a second. A gateway lags while it
 * has more connections than it can serve. Connections that are handed over go to the gateway in rotation with the fewest.
 */
final class GatewaysOfOneDomain {

    private static final FailureDomainName DOMAIN = new FailureDomainName("north");
    private static final Duration TICK = Duration.ofMillis(25);
    private static final Duration CHECK = Duration.ofSeconds(1);
    private static final Duration LAG_WHEN_OVERLOADED = Duration.ofMillis(300);
    private static final int CHECKS_TO_REMOVE = 2;

    private final RotationPolicy policy = new OverloadRotationPolicy();
    private final List<Rotation> rotations = new ArrayList<>();
    private final int[] connections;
    private final int[] failedChecks;
    private final IntUnaryOperator capacity;
    private IntPredicate linkWorks = gateway -> true;
    private final List<UnderWay> underWay = new ArrayList<>();
    private Duration reportDelay = Duration.ZERO;
    private Instant now = Instant.EPOCH;

    /** A report that has been sent and not yet received. */
    private record UnderWay(Instant arrivesAt, int gateway, RotationReport report) {}

    private int mostOutAtOnce;
    private final Set<Integer> leftRotation = new TreeSet<>();

    GatewaysOfOneDomain(int gateways, IntUnaryOperator connections, IntUnaryOperator capacity) {
        this.connections = IntStream.range(0, gateways).map(connections).toArray();
        this.failedChecks = new int[gateways];
        this.capacity = capacity;
        IntStream.range(0, gateways)
                .forEach(gateway -> rotations.add(Rotation.start("gateway-" + gateway, Optional.of(DOMAIN))));
    }

    /** Loses the reports of the gateways for which this is false. */
    void setLinkWorks(IntPredicate next) {
        linkWorks = next;
    }

    void setReportDelay(Duration next) {
        reportDelay = next;
    }

    void run(Duration time) {
        Instant until = now.plus(time);
        while (now.isBefore(until)) {
            deliverReports();
            IntStream.range(0, rotations.size()).forEach(this::tick);
            long out = rotations.stream()
                    .filter(rotation -> !rotation.inRotation())
                    .count();
            mostOutAtOnce = Math.max(mostOutAtOnce, (int) out);
            now = now.plus(TICK);
        }
    }

    private void tick(int gateway) {
        boolean overloaded = connections[gateway] > capacity.applyAsInt(gateway);
        ProcessLoad load = new ProcessLoad(overloaded ? LAG_WHEN_OVERLOADED : Duration.ZERO, connections[gateway]);
        Rotation measured = rotations.get(gateway).withLoad(load, now);
        Rotation decided = measured.changedTo(policy.shouldBeIn(measured, now), now);
        if (!decided.inRotation()) {
            leftRotation.add(gateway);
        }
        rotations.set(
                gateway,
                decided.dueReport(now)
                        .map(report -> {
                            tellPeers(gateway, report);
                            return decided.asShared(now);
                        })
                        .orElse(decided));
        check(gateway);
        handOver(gateway);
    }

    private void tellPeers(int gateway, RotationReport report) {
        if (linkWorks.test(gateway)) {
            underWay.add(new UnderWay(now.plus(reportDelay), gateway, report));
        }
    }

    private void deliverReports() {
        List<UnderWay> arrived = underWay.stream()
                .filter(report -> !now.isBefore(report.arrivesAt()))
                .toList();
        underWay.removeAll(arrived);
        arrived.forEach(this::deliver);
    }

    private void deliver(UnderWay arrived) {
        String name = "gateway-" + arrived.gateway();
        IntStream.range(0, rotations.size())
                .filter(peer -> peer != arrived.gateway())
                .forEach(peer -> rotations.set(peer, rotations.get(peer).withReport(name, arrived.report(), now)));
    }

    private void check(int gateway) {
        if (now.toEpochMilli() % CHECK.toMillis() == 0) {
            failedChecks[gateway] = rotations.get(gateway).inRotation() ? 0 : failedChecks[gateway] + 1;
        }
    }

    /** Hands over as many connections as are due since the last tick. */
    private void handOver(int gateway) {
        int due = rotations
                .get(gateway)
                .handOverInterval(now)
                .map(interval -> (int) Math.max(1, TICK.dividedBy(interval)))
                .orElse(0);
        for (int number = 0; number < due; number++) {
            connections[gateway]--;
            connections[leastLoadedInRotation()]++;
        }
    }

    private int leastLoadedInRotation() {
        return IntStream.range(0, rotations.size())
                .filter(gateway -> failedChecks[gateway] < CHECKS_TO_REMOVE)
                .boxed()
                .min((one, other) -> Integer.compare(connections[one], connections[other]))
                .orElse(0);
    }

    /** Measures the lag of a process that was paused, once. */
    void pause(int gateway, Duration time) {
        now = now.plus(time);
        rotations.set(gateway, rotations.get(gateway).withLoad(new ProcessLoad(time, connections[gateway]), now));
    }

    boolean isInRotation(int gateway) {
        return rotations.get(gateway).inRotation();
    }

    int connections(int gateway) {
        return connections[gateway];
    }

    int mostOutAtOnce() {
        return mostOutAtOnce;
    }

    Set<Integer> leftRotation() {
        return leftRotation;
    }
}
