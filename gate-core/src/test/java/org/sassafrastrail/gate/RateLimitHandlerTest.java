package org.sassafrastrail.gate;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pcollections.HashTreePSet;
import org.sassafrastrail.gate.limit.LimitReport;
import org.sassafrastrail.model.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what a gateway does about the limit of an upstream for which another gateway issues the permits, event by event. */
class RateLimitHandlerTest {

    private static final Route ROUTE = GatewayDriver.route("list", GatewayDriver.SERVICE, true, false, 2);
    private static final Upstream UPSTREAM = GatewayDriver.upstream("one", GatewayDriver.SERVICE);
    private static final Upstream OTHER = GatewayDriver.upstream("two", GatewayDriver.SERVICE);
    private static final String ISSUER = issuer("b", "c", "d", "e", "f");
    private static final Upstream ENGINE = GatewayDriver.upstream("engine", GatewayDriver.MODEL);
    private static final Duration LONG = Duration.ofMinutes(3);

    /** Longer than a request may be queued, and shorter than the time after which refused callers return otherwise. */
    private static final Duration PAUSE = Duration.ofMillis(220);

    private final GatewayDriver gateway = new GatewayDriver();

    private static String issuer(String... peers) {
        return List.of(peers).stream()
                .filter(peer -> Peers.none("a")
                        .withConnected(peer)
                        .issuer(UPSTREAM.incarnation().upstream())
                        .equals(peer))
                .findFirst()
                .orElseThrow();
    }

    @BeforeEach
    void register() {
        gateway.register(UPSTREAM);
        gateway.handle(new GatewayEvent.GatewaysChanged(HashTreePSet.from(List.of("a", ISSUER))));
        gateway.handle(new GatewayEvent.PeerConnected(ISSUER));
        name(OptionalDouble.of(2));
    }

    private List<GatewayAction> name(OptionalDouble limit) {
        return gateway.handle(new GatewayEvent.PeerRateLimitsReceived(
                List.of(new LimitReport(UPSTREAM.incarnation(), limit, Duration.ZERO))));
    }

    private List<GatewayAction> answer(boolean granted, Duration delay) {
        return gateway.handle(new GatewayEvent.PermitAnswered(UPSTREAM.incarnation(), granted, delay));
    }

    private static Optional<GatewayAction.RequestPermit> question(List<GatewayAction> actions) {
        return GatewayDriver.first(actions, GatewayAction.RequestPermit.class);
    }

    @Test
    void requestIsSentWithPermitOfIssuerOnly() {
        assertThat(question(gateway.arrive(1, ROUTE)).orElseThrow().gateway()).isEqualTo(ISSUER);
        assertThat(gateway.arrive(2, ROUTE)).isEmpty();
        List<GatewayAction> actions = answer(true, Duration.ZERO);
        assertThat(GatewayDriver.dispatchedTo(actions)).contains("one");
        assertThat(question(actions)).isPresent();
    }

    /** Guards against LIMIT: the limit was forgotten while nobody might send to the upstream. */
    @Test
    void limitHoldsAfterItsFailureDomainWasOutForLong() {
        gateway.handle(new GatewayEvent.DomainsOutChanged(HashTreePSet.singleton(UPSTREAM.domain())));
        gateway.advance(LONG);
        gateway.handle(new GatewayEvent.DomainsOutChanged(HashTreePSet.empty()));
        List<GatewayAction> actions = gateway.arrive(1, ROUTE);
        assertThat(GatewayDriver.dispatchedTo(actions)).isEmpty();
        assertThat(question(actions)).isPresent();
    }

    @Test
    void limitEndsWithTheUpstream() {
        gateway.register(GatewayDriver.restarted(UPSTREAM));
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(1, ROUTE))).contains("one");
        gateway.advance(LONG);
        assertThat(gateway.state().rateLimits().named()).isEmpty();
    }

    @Test
    void requestGoesElsewhereWhereNoPermitIsToBeHad() {
        gateway.register(OTHER);
        gateway.peerLoad(ISSUER, "two", 3, 0);
        assertThat(question(gateway.arrive(1, ROUTE))).isPresent();
        assertThat(GatewayDriver.dispatchedTo(answer(false, LONG))).contains("two");
    }

    @Test
    void requestThatCannotWaitForPermitIsRefused() {
        gateway.arrive(1, ROUTE);
        GatewayAction.Refuse refuse = GatewayDriver.first(answer(false, LONG), GatewayAction.Refuse.class)
                .orElseThrow();
        assertThat(refuse.reason()).isEqualTo(RefusalReason.UPSTREAMS_LIMITED);
        assertThat(refuse.retryAfter()).isGreaterThanOrEqualTo(GatewayDriver.LIMITS.retryAfter());
    }

    @Test
    void callerIsNotToldToReturnAtOnceWhereOtherUpstreamIsPaused() {
        gateway.register(OTHER);
        gateway.handle(new GatewayEvent.PauseRequested(OTHER, LONG));
        gateway.arrive(1, ROUTE);
        GatewayAction.Refuse refuse = IntStream.range(0, 100)
                .boxed()
                .flatMap(tick ->
                        Stream.of(answer(false, GatewayDriver.TICK.plusMillis(5)), gateway.advance(GatewayDriver.TICK)))
                .flatMap(actions -> GatewayDriver.first(actions, GatewayAction.Refuse.class).stream())
                .findFirst()
                .orElseThrow();
        assertThat(refuse.retryAfter()).isGreaterThanOrEqualTo(GatewayDriver.LIMITS.retryAfter());
    }

    /** Guards against a refusal that named the wrong cause: another target's upstream was paused. */
    @Test
    void refusalNamesLimitWhileUpstreamOfOtherTargetIsPaused() {
        gateway.register(ENGINE);
        gateway.handle(new GatewayEvent.PauseRequested(ENGINE, LONG));
        gateway.arrive(1, ROUTE);
        assertThat(GatewayDriver.first(answer(false, LONG), GatewayAction.Refuse.class)
                        .map(GatewayAction.Refuse::reason))
                .contains(RefusalReason.UPSTREAMS_LIMITED);
    }

    /** Guards against a time to return that followed from the limit of another target's upstream. */
    @Test
    void limitOfOtherTargetDoesNotLengthenPause() {
        gateway.register(ENGINE);
        gateway.handle(new GatewayEvent.PauseRequested(ENGINE, PAUSE));
        Route route = GatewayDriver.route("tell", GatewayDriver.MODEL, true, true, 1);
        GatewayAction.Refuse refuse = GatewayDriver.first(gateway.arrive(1, route), GatewayAction.Refuse.class)
                .orElseThrow();
        assertThat(refuse.reason()).isEqualTo(RefusalReason.UPSTREAMS_PAUSED);
        assertThat(refuse.retryAfter()).isLessThan(GatewayDriver.LIMITS.retryAfter());
    }

    /** An answer that comes late, or twice, holds no request back. */
    @Test
    void answerThatNoRequestWaitsForIsNotCounted() {
        assertThat(answer(false, LONG)).isEmpty();
    }

    /** What the limit was before says nothing of when it has room now. */
    @Test
    void refusalIsForgottenWhenLimitChanges() {
        gateway.arrive(1, ROUTE);
        answer(false, LONG);
        gateway.advance(GatewayDriver.TICK);
        name(OptionalDouble.of(30));
        assertThat(question(gateway.arrive(2, ROUTE))).isPresent();
    }

    /** A gateway that isn't the issuer, or is cut off, has little to issue, and names a long time. */
    @Test
    void refusalIsForgottenWhenOtherGatewaysAreConnected() {
        gateway.arrive(1, ROUTE);
        answer(false, LONG);
        gateway.handle(new GatewayEvent.PeerConnected("z"));
        assertThat(question(gateway.arrive(2, ROUTE))).isPresent();
    }

    @Test
    void refusalIsForgottenWhenGatewayThatRefusedIsGone() {
        gateway.handle(new GatewayEvent.PeerConnected("z"));
        gateway.arrive(1, ROUTE);
        answer(false, LONG);
        gateway.handle(new GatewayEvent.PeerDisconnected(ISSUER));
        assertThat(GatewayDriver.first(gateway.arrive(2, ROUTE), GatewayAction.Refuse.class))
                .isEmpty();
    }

    @Test
    void otherGatewayGetsPermitsAtRateOfLimit() {
        GatewayEvent asked = new GatewayEvent.PermitRequested(
                ISSUER, new LimitReport(OTHER.incarnation(), OptionalDouble.of(2), Duration.ZERO));
        gateway.handle(new GatewayEvent.PeerDisconnected(ISSUER));
        gateway.handle(new GatewayEvent.GatewaysChanged(HashTreePSet.singleton("a")));
        gateway.handle(asked);
        gateway.advance(Duration.ofMillis(500));
        assertThat(answers(asked)).containsExactly(true);
        assertThat(answers(asked)).containsExactly(false);
    }

    private List<Boolean> answers(GatewayEvent asked) {
        return gateway.handle(asked).stream()
                .map(GatewayAction.AnswerPermitRequest.class::cast)
                .map(GatewayAction.AnswerPermitRequest::granted)
                .toList();
    }
}
