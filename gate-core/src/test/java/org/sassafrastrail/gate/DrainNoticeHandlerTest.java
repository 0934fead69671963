package org.sassafrastrail.gate;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what a gateway does about upstreams that say that they are draining, event by event. */
class DrainNoticeHandlerTest {

    private static final Route ROUTE = GatewayDriver.route("list", GatewayDriver.SERVICE, true, false, 2);
    private static final Upstream UPSTREAM = GatewayDriver.upstream("one", GatewayDriver.SERVICE);
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

    private final GatewayDriver gateway = new GatewayDriver();

    @BeforeEach
    void register() {
        gateway.register(UPSTREAM);
    }

    private Optional<String> dispatch(long number) {
        return GatewayDriver.dispatchedTo(gateway.arrive(number, ROUTE));
    }

    private List<GatewayAction> peerTells(String upstream, long startedAtMillis, Duration age) {
        return gateway.handle(new GatewayEvent.PeerDrainNoticesReceived(
                List.of(new DrainReport(new UpstreamIncarnation(upstream, startedAtMillis), age))));
    }

    @Test
    void drainingUpstreamGetsNoRequests() {
        gateway.handle(new GatewayEvent.DrainNoticeReceived(UPSTREAM));
        assertThat(dispatch(1)).isEmpty();
    }

    @Test
    void requestThatWasHeldBackGoesToAnotherUpstream() {
        assertThat(dispatch(1)).contains("one");
        gateway.handle(new GatewayEvent.DrainNoticeReceived(UPSTREAM));
        gateway.register(GatewayDriver.upstream("two", GatewayDriver.SERVICE));
        assertThat(GatewayDriver.dispatchedTo(gateway.endAttempt(1, 1, new AttemptResult.NotSent())))
                .contains("two");
    }

    @Test
    void resumedStreamGoesToAnotherUpstream() {
        Route resumable = new Route(
                "stream",
                "host",
                "/stream/",
                ROUTE.targets(),
                false,
                true,
                false,
                true,
                false,
                2,
                Duration.ofSeconds(2),
                Duration.ofMillis(500));
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(1, resumable))).contains("one");
        gateway.register(GatewayDriver.upstream("two", GatewayDriver.SERVICE));
        gateway.handle(new GatewayEvent.DrainNoticeReceived(GatewayDriver.upstream("two", GatewayDriver.SERVICE)));
        assertThat(GatewayDriver.dispatchedTo(gateway.endAttempt(1, 1, new AttemptResult.Broken())))
                .isEmpty();
    }

    @Test
    void registryDoesNotTakeNoticeBack() {
        gateway.handle(new GatewayEvent.DrainNoticeReceived(UPSTREAM));
        gateway.register(GatewayDriver.draining(UPSTREAM));
        gateway.register(UPSTREAM);
        assertThat(dispatch(1)).isEmpty();
    }

    /** Guards against DRAIN: the row of an upstream expired while the store was away, and came back. */
    @Test
    void upstreamThatIsRegisteredAgainStillDrains() {
        gateway.handle(new GatewayEvent.DrainNoticeReceived(UPSTREAM));
        gateway.unregister("one");
        gateway.register(UPSTREAM);
        assertThat(dispatch(1)).isEmpty();
    }

    @Test
    void restartedUpstreamDoesNotDrain() {
        gateway.handle(new GatewayEvent.DrainNoticeReceived(UPSTREAM));
        gateway.register(GatewayDriver.restarted(UPSTREAM));
        assertThat(dispatch(1)).contains("one");
    }

    @Test
    void noticeOfPeerCounts() {
        assertThat(peerTells("one", 1, Duration.ofMillis(40)))
                .anyMatch(GatewayAction.ReportUpstreamStatus.class::isInstance);
        assertThat(dispatch(1)).isEmpty();
    }

    @Test
    void oldNoticeOfPeerDoesNothing() {
        peerTells("one", 1, Duration.ofHours(1));
        assertThat(dispatch(1)).contains("one");
    }

    @Test
    void noticeOfPeerOnUnknownUpstreamDoesNothing() {
        assertThat(peerTells("unknown", 1, Duration.ZERO)).isEmpty();
        peerTells("one", 2, Duration.ZERO);
        assertThat(dispatch(1)).contains("one");
    }

    @Test
    void eachPeerIsToldOnce() {
        gateway.handle(new GatewayEvent.PeerConnected("first"));
        gateway.handle(new GatewayEvent.DrainNoticeReceived(UPSTREAM));
        assertThat(toldAfter(REPORT_INTERVAL)).isPresent();
        gateway.handle(new GatewayEvent.DrainNoticeReceived(UPSTREAM));
        assertThat(toldAfter(REPORT_INTERVAL)).isEmpty();
        gateway.handle(new GatewayEvent.PeerConnected("second"));
        assertThat(toldAfter(REPORT_INTERVAL)).isPresent();
    }

    @Test
    void noticeOfPeerIsNotPassedOn() {
        gateway.handle(new GatewayEvent.PeerConnected("first"));
        toldAfter(REPORT_INTERVAL);
        peerTells("one", 1, Duration.ZERO);
        assertThat(toldAfter(REPORT_INTERVAL)).isEmpty();
    }

    private Optional<GatewayAction.ShareDrainNotices> toldAfter(Duration time) {
        return GatewayDriver.first(gateway.advance(time), GatewayAction.ShareDrainNotices.class);
    }
}
