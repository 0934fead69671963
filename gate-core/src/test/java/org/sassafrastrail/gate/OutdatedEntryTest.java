package org.sassafrastrail.gate;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests against DRAIN: a write that the store performs seconds late puts an older entry of an upstream back, which must not
 * bring requests to an upstream that is draining or has left.
 */
class OutdatedEntryTest {

    private static final Route ROUTE = GatewayDriver.route("list", GatewayDriver.SERVICE, true, false, 2);
    private static final Duration STORE_DELAY = Duration.ofSeconds(6);
    private static final long START = 1_700_000_000_000L;
    private static final long UNKNOWN = 0;

    private final GatewayDriver gateway = new GatewayDriver();

    private static Upstream entry(boolean draining, long startedAtMillis, long entryNumber) {
        Upstream upstream = GatewayDriver.upstream("one", GatewayDriver.SERVICE);
        return new Upstream(
                upstream.identifier(),
                upstream.target(),
                upstream.host(),
                upstream.port(),
                upstream.domain(),
                upstream.version(),
                upstream.slots(),
                draining,
                Duration.ZERO,
                startedAtMillis,
                entryNumber);
    }

    private static Upstream ready(long startedAtMillis, long entryNumber) {
        return entry(false, startedAtMillis, entryNumber);
    }

    private static Upstream draining(long startedAtMillis, long entryNumber) {
        return entry(true, startedAtMillis, entryNumber);
    }

    private Optional<String> dispatch() {
        return GatewayDriver.dispatchedTo(gateway.arrive(1, ROUTE));
    }

    @Test
    void olderEntryDoesNotTakeDrainingBack() {
        gateway.register(ready(START, 1));
        gateway.register(draining(START, 5));
        gateway.register(ready(START, 2));
        assertThat(dispatch()).isEmpty();
    }

    @Test
    void drainingIsFinalWithoutEntryNumbers() {
        gateway.register(draining(START, UNKNOWN));
        gateway.register(ready(START, UNKNOWN));
        assertThat(dispatch()).isEmpty();
    }

    @Test
    void drainingIsFinalWhileRegisteredWithoutStart() {
        gateway.register(draining(UNKNOWN, 5));
        gateway.register(ready(UNKNOWN, 2));
        gateway.register(ready(UNKNOWN, 6));
        assertThat(dispatch()).isEmpty();
    }

    @Test
    void olderEntryChangesNothingElse() {
        gateway.register(ready(START, 5));
        gateway.register(draining(START, 2));
        assertThat(dispatch()).contains("one");
    }

    @Test
    void olderEntryDoesNotRegisterUpstreamThatLeft() {
        gateway.register(ready(START, 5));
        gateway.unregister("one");
        gateway.advance(STORE_DELAY);
        gateway.register(ready(START, 4));
        assertThat(dispatch()).isEmpty();
    }

    @Test
    void drainedUpstreamThatLeftStaysAway() {
        gateway.register(draining(START, UNKNOWN));
        gateway.unregister("one");
        gateway.advance(STORE_DELAY);
        gateway.register(ready(START, UNKNOWN));
        assertThat(dispatch()).isEmpty();
    }

    @Test
    void drainedUpstreamWithoutStartThatLeftStaysAwayForAsLongAsWritesAreLate() {
        gateway.register(draining(UNKNOWN, 5));
        gateway.unregister("one");
        gateway.advance(STORE_DELAY);
        gateway.register(ready(UNKNOWN, 2));
        assertThat(dispatch()).isEmpty();
        gateway.advance(EntryHistory.RETENTION_WITHOUT_START);
        gateway.register(ready(UNKNOWN, 3));
        assertThat(gateway.state()
                        .upstreams()
                        .get(new UpstreamIdentifier("one"))
                        .registered())
                .isTrue();
    }

    @Test
    void upstreamWhoseEntryLapsedIsBackWithNewerEntry() {
        gateway.register(ready(START, 5));
        gateway.unregister("one");
        gateway.register(ready(START, 6));
        assertThat(dispatch()).contains("one");
    }

    @Test
    void upstreamWhoseEntryLapsedIsBackWithSameEntry() {
        gateway.register(ready(START, 5));
        gateway.unregister("one");
        gateway.register(ready(START, 5));
        assertThat(dispatch()).contains("one");
    }

    @Test
    void restartedUpstreamCountsFromTheStart() {
        gateway.register(draining(START, 5));
        gateway.register(ready(START + 1, 1));
        assertThat(dispatch()).contains("one");
    }

    @Test
    void crashedUpstreamWithoutStartCountsFromTheStart() {
        gateway.register(ready(UNKNOWN, 5));
        gateway.register(ready(UNKNOWN, 1));
        assertThat(dispatch()).contains("one");
    }

    @Test
    void gatewayThatStartsAfterOlderEntryIsToldByPeer() {
        gateway.register(draining(START, 5));
        gateway.handle(new GatewayEvent.PeerConnected("starting"));
        List<DrainReport> told = GatewayDriver.first(
                        gateway.advance(Duration.ofSeconds(1)), GatewayAction.ShareDrainNotices.class)
                .orElseThrow()
                .reports();
        GatewayDriver starting = new GatewayDriver("starting");
        starting.handle(new GatewayEvent.PeerDrainNoticesReceived(told));
        starting.register(ready(START, 2));
        assertThat(GatewayDriver.dispatchedTo(starting.arrive(1, ROUTE))).isEmpty();
    }

    @Test
    void outdatedEntryIsReportedOnce() {
        gateway.register(ready(START, 5));
        assertThat(outdatedReports(gateway.register(ready(START, 2)))).isEqualTo(1);
        assertThat(outdatedReports(gateway.register(GatewayDriver.upstream("two", GatewayDriver.SERVICE))))
                .isZero();
        assertThat(outdatedReports(gateway.register(ready(START, 3)))).isEqualTo(1);
    }

    private static long outdatedReports(List<GatewayAction> actions) {
        return actions.stream()
                .filter(GatewayAction.ReportUpstreamStatus.class::isInstance)
                .map(GatewayAction.ReportUpstreamStatus.class::cast)
                .filter(report -> report.status() == UpstreamStatus.ENTRY_OUTDATED)
                .count();
    }
}
