package org.sassafrastrail.gate;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.model.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what a gateway does about upstreams that ask for a pause, event by event. */
class PauseHandlerTest {

    private static final Route ROUTE = GatewayDriver.route("list", GatewayDriver.SERVICE, true, false, 2);
    private static final Upstream UPSTREAM = GatewayDriver.upstream("one", GatewayDriver.SERVICE);
    private static final Upstream OTHER = GatewayDriver.upstream("two", GatewayDriver.SERVICE);
    private static final Duration LONG = Duration.ofSeconds(2);

    /** Shorter than a request may be queued. */
    private static final Duration SHORT = Duration.ofMillis(100);

    private static final int MANY = 12;

    private final GatewayDriver gateway = new GatewayDriver();

    @BeforeEach
    void register() {
        gateway.register(UPSTREAM);
    }

    private List<GatewayAction> pause(Upstream upstream, Duration duration) {
        return gateway.handle(new GatewayEvent.PauseRequested(upstream, duration));
    }

    private Optional<GatewayAction.Refuse> refusal(List<GatewayAction> actions) {
        return GatewayDriver.first(actions, GatewayAction.Refuse.class);
    }

    private long dispatchedOf(long first, int count) {
        return LongStream.range(first, first + count)
                .filter(number -> GatewayDriver.dispatchedTo(gateway.arrive(number, ROUTE))
                        .isPresent())
                .count();
    }

    /** Guards against BUDGET: an upstream that had asked for a pause got requests before its end. */
    @Test
    void pausedUpstreamGetsNoRequestsUntilEndOfPause() {
        pause(UPSTREAM, LONG);
        assertThat(dispatchedOf(1, MANY)).isZero();
        gateway.advance(LONG.minusMillis(1));
        assertThat(dispatchedOf(100, MANY)).isZero();
        assertThat(GatewayDriver.dispatchedTo(gateway.advance(Duration.ofMillis(1))))
                .contains("one");
    }

    @Test
    void requestsThatWaitAreNotSentToPausedUpstream() {
        pause(UPSTREAM, SHORT);
        assertThat(gateway.arrive(1, ROUTE)).isEmpty();
        assertThat(GatewayDriver.dispatchedTo(gateway.advance(GatewayDriver.TICK)))
                .isEmpty();
    }

    @Test
    void laterPauseDoesNotShortenEarlierOne() {
        pause(UPSTREAM, LONG);
        pause(UPSTREAM, SHORT);
        gateway.advance(SHORT.plusMillis(1));
        assertThat(dispatchedOf(1, 1)).isZero();
    }

    @Test
    void laterPauseExtendsEarlierOne() {
        pause(UPSTREAM, SHORT);
        pause(UPSTREAM, LONG);
        gateway.advance(SHORT.plusMillis(1));
        assertThat(dispatchedOf(1, 1)).isZero();
    }

    @Test
    void otherUpstreamServesDuringPause() {
        gateway.register(OTHER);
        pause(UPSTREAM, LONG);
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(1, ROUTE))).contains("two");
    }

    @Test
    void retryDoesNotGoToPausedUpstream() {
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(1, ROUTE))).contains("one");
        gateway.register(OTHER);
        pause(OTHER, LONG);
        List<GatewayAction> actions = gateway.endAttempt(1, 1, new AttemptResult.Declined());
        assertThat(GatewayDriver.dispatchedTo(actions)).isEmpty();
        assertThat(refusal(actions)).isPresent();
    }

    @Test
    void requestThatCannotWaitIsRefusedAtOnceWithTimeToReturn() {
        gateway.register(OTHER);
        pause(UPSTREAM, LONG.plus(LONG));
        pause(OTHER, LONG);
        GatewayAction.Refuse refuse = refusal(gateway.arrive(1, ROUTE)).orElseThrow();
        assertThat(refuse.reason()).isEqualTo(RefusalReason.UPSTREAMS_PAUSED);
        assertThat(refuse.retryAfter()).isBetween(LONG, LONG.plus(LONG.dividedBy(4)));
    }

    @Test
    void callersAreToldDifferentTimes() {
        pause(UPSTREAM, LONG);
        assertThat(LongStream.rangeClosed(1, MANY)
                        .mapToObj(number -> refusal(gateway.arrive(number, ROUTE))
                                .orElseThrow()
                                .retryAfter())
                        .distinct()
                        .count())
                .isGreaterThan(MANY / 2);
    }

    @Test
    void requestThatCanWaitIsServedAfterPause() {
        pause(UPSTREAM, SHORT);
        assertThat(gateway.arrive(1, ROUTE)).isEmpty();
        assertThat(GatewayDriver.dispatchedTo(gateway.advance(SHORT))).contains("one");
    }

    @Test
    void queuedRequestsAreRefusedWhenLastUpstreamPauses() {
        pause(UPSTREAM, SHORT);
        gateway.arrive(1, ROUTE);
        assertThat(refusal(pause(UPSTREAM, LONG)).map(GatewayAction.Refuse::reason))
                .contains(RefusalReason.UPSTREAMS_PAUSED);
    }

    @Test
    void loadReturnsGradually() {
        pause(UPSTREAM, LONG);
        gateway.advance(LONG);
        assertThat(dispatchedOf(1, MANY)).isEqualTo(1);
        assertThat(gateway.advance(Duration.ofSeconds(1)).stream().filter(GatewayAction.Dispatch.class::isInstance))
                .hasSize(MANY - 1);
    }

    @Test
    void restartedUpstreamIsNotPaused() {
        pause(UPSTREAM, LONG);
        gateway.register(GatewayDriver.restarted(UPSTREAM));
        assertThat(dispatchedOf(1, 1)).isEqualTo(1);
    }

    /** Guards against BUDGET: the row of an upstream expired during its pause, and came back. */
    @Test
    void upstreamThatIsRegisteredAgainIsStillPaused() {
        pause(UPSTREAM, LONG);
        gateway.unregister("one");
        gateway.register(UPSTREAM);
        assertThat(dispatchedOf(1, 1)).isZero();
    }

    @Test
    void upstreamThatAlsoDrainsGetsNothingAfterPause() {
        pause(UPSTREAM, SHORT);
        gateway.handle(new GatewayEvent.DrainNoticeReceived(UPSTREAM));
        gateway.advance(LONG);
        assertThat(dispatchedOf(1, 1)).isZero();
    }
}
