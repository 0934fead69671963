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

/** What the reports of the other gateways cost the control thread. */
class ReportCostTest {

    private static final int PEERS = 21;
    private static final int ENGINES = 28;
    private static final int ACCOUNTS = 30;
    private static final int WAITING = 60;
    private static final int REPORTS_A_SECOND = 10;
    private static final int CHANGED_ENGINES = 12;
    private static final int CHANGED_ACCOUNTS = 8;
    private static final int WARM_UP_SECONDS = 20;
    private static final int SECONDS = 10;

    /** The share of a core that a node may spend on control, of the users' target. */
    private static final double MOST_SHARE_OF_CORE = 0.01;

    private final Gate gate = new Gate();

    /** Guards against FAIR: reports took so much of a small VM that its callers' requests were served late or never. */
    @Test
    void theReportsOfManyPeersTakeAHundredthOfACoreWhileRequestsWait() {
        gate.register(IntStream.range(0, ENGINES)
                .mapToObj(engine -> Gate.upstream("engine-" + engine, Gate.MODEL))
                .toArray(Upstream[]::new));
        IntStream.range(0, PEERS).forEach(peer -> gate.handle(new GatewayEvent.PeerConnected("peer-" + peer)));
        IntStream.range(0, PEERS).forEach(peer -> gate.handle(report(peer, 0)));
        Route tell = Gate.route("tell", Gate.MODEL, false, true, 1);
        LongStream.range(0, WAITING)
                .forEach(number -> gate.arrive(
                        number, tell, Gate.prompt("session-" + number, 3780, 9000), "account-" + number % ACCOUNTS));
        assertThat(gate.state().waiting()).hasSize(WAITING);
        reports(WARM_UP_SECONDS).forEach(gate::handle);
        List<GatewayEvent> reports = reports(SECONDS);
        Duration took = processorTime(() -> reports.forEach(gate::handle));
        assertThat((double) took.toNanos() / Duration.ofSeconds(SECONDS).toNanos())
                .isLessThan(MOST_SHARE_OF_CORE);
        assertThat(gate.state().waiting()).hasSize(WAITING);
    }

    private static List<GatewayEvent> reports(int seconds) {
        return IntStream.range(0, seconds * REPORTS_A_SECOND)
                .boxed()
                .flatMap(round -> IntStream.range(0, PEERS).mapToObj(peer -> report(peer, round)))
                .toList();
    }

    /** Every peer has more at every engine than leaves room for others; once a second it tells all, else what changed. */
    private static GatewayEvent report(int peer, int round) {
        boolean full = round % REPORTS_A_SECOND == 0;
        Map<UpstreamIdentifier, PeerLoad> loads = some(full ? ENGINES : CHANGED_ENGINES, ENGINES, round)
                .collect(Collectors.toMap(
                        engine -> new UpstreamIdentifier("engine-" + engine),
                        engine -> new PeerLoad(3 + round % 2, 5000 + 10L * round % 7)));
        Map<String, AccountTokens> accounts = some(full ? ACCOUNTS : CHANGED_ACCOUNTS, ACCOUNTS, round)
                .collect(Collectors.toMap(
                        account -> "account-" + account,
                        account -> new AccountTokens(2000L * account + round, 1000L * account + round)));
        return new GatewayEvent.PeerReportReceived("peer-" + peer, new GatewayReport(full, loads, accounts));
    }

    /** So many of all, others in each round. */
    private static Stream<Integer> some(int count, int all, int round) {
        return IntStream.range(0, count).mapToObj(number -> (number + round * count) % all);
    }

    private static Duration processorTime(Runnable work) {
        long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        work.run();
        return Duration.ofNanos(ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before);
    }
}
