package org.sassafrastrail.gate;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the processor time that the control thread needs for the reports of other gateways. */
class ReportCostTest {

    private static final int PEERS = 21;
    private static final int ENGINES = 28;
    private static final int ACCOUNTS = 30;
    private static final int WAITING = 60;
    private static final int REPORTS_PER_SECOND = 10;
    private static final int CHANGED_ENGINES = 12;
    private static final int CHANGED_ACCOUNTS = 8;
    private static final int WARM_UP_SECONDS = 20;
    private static final int SECONDS = 10;

    /** The users' limit for the share of a core that a node may spend on control. */
    private static final double MAX_SHARE_OF_CORE = 0.01;

    private final GatewayDriver gateway = new GatewayDriver();

    /** Guards against FAIR: processing reports loaded a small VM so much that requests were served late or never. */
    @Test
    void reportsOfManyPeersStayBelowOnePercentOfCore() {
        gateway.register(IntStream.range(0, ENGINES)
                .mapToObj(engine -> GatewayDriver.upstream("engine-" + engine, GatewayDriver.MODEL))
                .toArray(Upstream[]::new));
        IntStream.range(0, PEERS).forEach(peer -> gateway.handle(new GatewayEvent.PeerConnected("peer-" + peer)));
        IntStream.range(0, PEERS).forEach(peer -> gateway.handle(report(peer, 0)));
        Route route = GatewayDriver.route("tell", GatewayDriver.MODEL, false, true, 1);
        LongStream.range(0, WAITING)
                .forEach(number -> gateway.arrive(
                        number,
                        route,
                        GatewayDriver.prompt("session-" + number, 3780, 9000),
                        "account-" + number % ACCOUNTS));
        assertThat(gateway.state().queued()).hasSize(WAITING);
        reports(WARM_UP_SECONDS).forEach(gateway::handle);
        List<GatewayEvent> reports = reports(SECONDS);
        Duration processorTime = processorTime(() -> reports.forEach(gateway::handle));
        assertThat((double) processorTime.toNanos()
                        / Duration.ofSeconds(SECONDS).toNanos())
                .isLessThan(MAX_SHARE_OF_CORE);
        assertThat(gateway.state().queued()).hasSize(WAITING);
    }

    private static List<GatewayEvent> reports(int seconds) {
        return IntStream.range(0, seconds * REPORTS_PER_SECOND)
                .boxed()
                .flatMap(round -> IntStream.range(0, PEERS).mapToObj(peer -> report(peer, round)))
                .toList();
    }

    /** Creates a report in which the peer fills every engine: a full one once a second, incremental ones otherwise. */
    private static GatewayEvent report(int peer, int round) {
        boolean full = round % REPORTS_PER_SECOND == 0;
        Map<UpstreamIdentifier, GatewayLoad> loads = some(full ? ENGINES : CHANGED_ENGINES, ENGINES, round)
                .collect(Collectors.toMap(
                        engine -> new UpstreamIdentifier("engine-" + engine),
                        engine -> new GatewayLoad(3 + round % 2, 5000 + 10L * round % 7)));
        Map<String, AccountTokens> accounts = some(full ? ACCOUNTS : CHANGED_ACCOUNTS, ACCOUNTS, round)
                .collect(Collectors.toMap(
                        account -> "account-" + account,
                        account -> new AccountTokens(2000L * account + round, 1000L * account + round)));
        return new GatewayEvent.PeerReportReceived("peer-" + peer, new GatewayReport(full, loads, accounts));
    }

    /** Returns a number of elements, different ones in each round. */
    private static Stream<Integer> some(int count, int all, int round) {
        return IntStream.range(0, count).mapToObj(number -> (number + round * count) % all);
    }

    private static Duration processorTime(Runnable work) {
        long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        work.run();
        return Duration.ofNanos(ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before);
    }
}
