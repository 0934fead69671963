package org.sassafrastrail.gate;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.gate.capacity.CapacityReport;
import org.sassafrastrail.gate.capacity.ResponseSums;
import org.sassafrastrail.gate.capacity.UpstreamSums;
import org.sassafrastrail.gate.capacity.UpstreamWork;
import org.sassafrastrail.gate.capacity.WorkKind;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.TargetName;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that requests go to the upstream with the shortest expected time, by what the gateways learned of its speed. */
class ExpectedTimePlacementTest {

    private static final Route MODEL_ROUTE = GatewayDriver.route("model", GatewayDriver.MODEL, false, true, 1);
    private static final Route PLAIN_ROUTE = GatewayDriver.route("plain", GatewayDriver.SERVICE, true, false, 2);
    private static final List<String> NAMES = List.of("one", "two", "three", "four", "five");

    private final GatewayDriver gateway = new GatewayDriver();

    /** A peer reports sixty responses of each upstream, which take as long as given there. */
    private void report(GatewayDriver receiver, WorkKind kind, Map<String, Double> milliseconds) {
        receiver.handle(new GatewayEvent.PeerCapacityReceived(
                "peer",
                1,
                new CapacityReport(
                        1,
                        milliseconds.entrySet().stream()
                                .map(upstream -> new UpstreamSums(
                                        new UpstreamWork(new UpstreamIncarnation(upstream.getKey(), 1), kind),
                                        sums(upstream.getValue())))
                                .toList())));
        receiver.advance(Duration.ofMillis(250));
    }

    private static ResponseSums sums(double milliseconds) {
        return new ResponseSums(
                60, 60, 60_000, 6e7, 60 * milliseconds, 60 * milliseconds * milliseconds, 60_000 * milliseconds);
    }

    private void register(GatewayDriver receiver, TargetName target) {
        receiver.register(NAMES.stream()
                .map(name -> GatewayDriver.upstream(name, target, 64))
                .toArray(Upstream[]::new));
    }

    private Stream<String> placedOn(GatewayDriver receiver, Route route, int requests) {
        Random random = new Random(3);
        return IntStream.rangeClosed(1, requests)
                .mapToObj(number -> GatewayDriver.dispatchedTo(receiver.arrive(
                        number,
                        route,
                        route == MODEL_ROUTE
                                ? GatewayDriver.prompt("session-" + random.nextInt(9), 30, 100 + random.nextInt(300))
                                : Prompt.NONE,
                        "account")))
                .flatMap(Optional::stream);
    }

    private long placedOn(String name, Route route) {
        return placedOn(gateway, route, 100).filter(name::equals).count();
    }

    /** Guards against placement by noise: 10 in 100 of difference is within the accuracy of what was learned. */
    @Test
    void equalUpstreamsArePlacedAsWithoutLearning() {
        Map<String, Double> noise = Map.of("one", 95.0, "two", 105.0, "three", 100.0, "four", 109.0, "five", 92.0);
        Stream.of(MODEL_ROUTE, PLAIN_ROUTE).forEach(route -> {
            GatewayDriver without = new GatewayDriver();
            GatewayDriver with = new GatewayDriver();
            register(without, route.targets().get(0).target());
            without.advance(Duration.ofMillis(250));
            register(with, route.targets().get(0).target());
            report(with, route == MODEL_ROUTE ? WorkKind.PREFILL : WorkKind.SERVICE, noise);
            assertThat(placedOn(with, route, 100).toList())
                    .isEqualTo(placedOn(without, route, 100).toList());
        });
    }

    @Test
    void slowServiceGetsFewerRequests() {
        register(gateway, GatewayDriver.SERVICE);
        report(gateway, WorkKind.SERVICE, Map.of("one", 400.0, "two", 100.0, "three", 100.0, "four", 100.0));
        assertThat(placedOn("one", PLAIN_ROUTE)).isBetween(3L, 8L);
    }

    /** The slow upstream is started again at the same address: what was learned of the process before means nothing. */
    @Test
    void restartedUpstreamIsRankedAsUsual() {
        register(gateway, GatewayDriver.SERVICE);
        report(gateway, WorkKind.SERVICE, Map.of("one", 400.0, "two", 100.0, "three", 100.0, "four", 100.0));
        gateway.register(GatewayDriver.restarted(GatewayDriver.upstream("one", GatewayDriver.SERVICE, 64)));
        assertThat(placedOn("one", PLAIN_ROUTE)).isEqualTo(20);
    }

    /** The own failure domain is preferred at equal times only: the second request goes elsewhere. */
    @Test
    void ownFailureDomainIsPreferredAtEqualTimes() {
        register(gateway, GatewayDriver.SERVICE);
        gateway.change(state -> state.with(GatewayDomains.start(Optional.of(new FailureDomainName("domain-four")))));
        assertThat(placedOn(gateway, PLAIN_ROUTE, 5).toList())
                .startsWith("four")
                .doesNotHaveDuplicates();
    }
}
