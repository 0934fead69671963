package org.sassafrastrail.gate;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pcollections.TreePVector;
import org.sassafrastrail.gate.crash.Crash;
import org.sassafrastrail.model.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what a gateway does about requests under which upstreams crash, event by event. */
class CrashHandlerTest {

    private static final Route ROUTE = GatewayDriver.route("tell", GatewayDriver.MODEL, false, true, 1);
    private static final Route RETRIED_ROUTE = GatewayDriver.route("list", GatewayDriver.MODEL, true, true, 3);
    private static final Duration BETWEEN_CRASHES = Duration.ofMillis(300);
    private static final long FIRST_DEADLY = 1;
    private static final long SECOND_DEADLY = 2;
    private static final long THIRD_DEADLY = 3;
    private static final long SOUND = 4;

    private final GatewayDriver gateway = new GatewayDriver();

    @BeforeEach
    void register() {
        LongStream.rangeClosed(1, 6)
                .forEach(number -> gateway.register(GatewayDriver.upstream("engine-" + number, GatewayDriver.MODEL)));
    }

    private static Prompt prompt(String... parts) {
        return new Prompt(
                TreePVector.from(Arrays.stream(parts)
                        .map(part -> new PromptPart(part, 500))
                        .toList()),
                4000,
                10);
    }

    private List<GatewayAction> arrive(long number, Route route, String... parts) {
        return gateway.arrive(number, route, prompt(parts), "account");
    }

    /** Loses a running request with its upstream, which is then removed from the registry. */
    private List<GatewayAction> crashUnder(long number) {
        String upstream = gateway.state()
                .call(number)
                .orElseThrow()
                .attempt()
                .orElseThrow()
                .upstream()
                .identifier()
                .value();
        gateway.endAttempt(number, 1, new AttemptResult.Lost());
        gateway.unregister(upstream);
        return gateway.advance(BETWEEN_CRASHES);
    }

    private void crashTwice() {
        arrive(FIRST_DEADLY, ROUTE, "common", "deadly");
        crashUnder(FIRST_DEADLY);
        arrive(SECOND_DEADLY, ROUTE, "other", "deadly");
        crashUnder(SECOND_DEADLY);
    }

    private static Optional<RefusalReason> refusal(List<GatewayAction> actions) {
        return GatewayDriver.first(actions, GatewayAction.Refuse.class).map(GatewayAction.Refuse::reason);
    }

    @Test
    void requestWithPartOfTwoCrashesIsRefusedAtOnce() {
        crashTwice();
        assertThat(refusal(arrive(THIRD_DEADLY, ROUTE, "third", "deadly"))).contains(RefusalReason.UPSTREAM_CRASHES);
    }

    @Test
    void requestWithOtherPartsOfCrashesIsServed() {
        crashTwice();
        assertThat(GatewayDriver.dispatchedTo(arrive(SOUND, ROUTE, "common", "another")))
                .isPresent();
    }

    @Test
    void requestThatWasSentAlreadyIsCancelled() {
        arrive(THIRD_DEADLY, ROUTE, "third", "deadly");
        arrive(FIRST_DEADLY, ROUTE, "common", "deadly");
        crashUnder(FIRST_DEADLY);
        arrive(SECOND_DEADLY, ROUTE, "other", "deadly");
        List<GatewayAction> actions = crashUnder(SECOND_DEADLY);
        assertThat(actions)
                .contains(
                        new GatewayAction.CancelAttempt(THIRD_DEADLY, 1),
                        new GatewayAction.ReportUnknownOutcome(THIRD_DEADLY, false));
        assertThat(gateway.state().call(THIRD_DEADLY)).isEmpty();
    }

    /** Starts a request whose upstream responds with a failure, and then makes its parts the cause of two crashes. */
    private void crashTwiceWhileAnswered(Route route) {
        arrive(THIRD_DEADLY, route, "third", "deadly");
        gateway.handle(new GatewayEvent.ResponseStarted(THIRD_DEADLY, 1, false, Optional.empty()));
        crashTwice();
        assertThat(refusal(arrive(SOUND, ROUTE, "fourth", "deadly"))).contains(RefusalReason.UPSTREAM_CRASHES);
    }

    @Test
    void requestThatIsAnsweredIsNotCancelled() {
        crashTwiceWhileAnswered(ROUTE);
        assertThat(gateway.state().call(THIRD_DEADLY)).isPresent();
    }

    /** Guards against BUDGET: a request whose route allows attempts at other upstreams crashed them as well. */
    @Test
    void requestUnderWhichUpstreamsCrashIsNotRetried() {
        crashTwiceWhileAnswered(RETRIED_ROUTE);
        List<GatewayAction> actions = gateway.endAttempt(THIRD_DEADLY, 1, new AttemptResult.Lost());
        assertThat(GatewayDriver.dispatchedTo(actions)).isEmpty();
        assertThat(gateway.state().call(THIRD_DEADLY)).isEmpty();
    }

    @Test
    void requestThatWaitsForRetryIsEnded() {
        arrive(THIRD_DEADLY, RETRIED_ROUTE, "third", "deadly");
        gateway.endAttempt(THIRD_DEADLY, 1, new AttemptResult.Lost());
        assertThat(gateway.state().call(THIRD_DEADLY)).isPresent();
        crashTwice();
        assertThat(gateway.state().call(THIRD_DEADLY)).isEmpty();
    }

    /** Guards against BUDGET: all gateways were killed at once, and their successors sent such requests to upstreams again. */
    @Test
    void gatewayThatStartsWithTheRecordOfOthersRefusesWhatTheyRefused() {
        crashTwice();
        List<GatewayAction> actions = gateway.advance(Duration.ofSeconds(2));
        GatewayAction.RecordCrashes recorded =
                GatewayDriver.first(actions, GatewayAction.RecordCrashes.class).orElseThrow();
        GatewayDriver successor = new GatewayDriver();
        successor.register(GatewayDriver.upstream("new", GatewayDriver.MODEL));
        successor.handle(new GatewayEvent.PeerCrashesReceived(recorded.crashes()));
        successor.advance(Duration.ofMillis(25));
        assertThat(refusal(successor.arrive(THIRD_DEADLY, ROUTE, prompt("third", "deadly"), "account")))
                .contains(RefusalReason.UPSTREAM_CRASHES);
        assertThat(refusal(successor.arrive(SOUND, ROUTE, prompt("common", "other"), "account")))
                .isEmpty();
    }

    @Test
    void connectionRefusedAfterLossConfirmsCrash() {
        arrive(FIRST_DEADLY, ROUTE, "deadly");
        gateway.endAttempt(FIRST_DEADLY, 1, new AttemptResult.Lost());
        assertThat(gateway.state().crashes().crashes().values()).noneMatch(Crash::confirmed);
        arrive(SOUND, ROUTE, "deadly");
        gateway.endAttempt(SOUND, 1, new AttemptResult.NotConnected());
        assertThat(gateway.state().crashes().crashes().values()).allMatch(Crash::confirmed);
    }

    @Test
    void peerThatConnectsLaterLearnsOfCause() {
        crashTwice();
        gateway.handle(new GatewayEvent.PeerConnected("late"));
        GatewayAction.ShareCrashes shared = gateway.crashesSharedAfter(Duration.ofSeconds(1));
        GatewayDriver late = new GatewayDriver("late");
        late.register(GatewayDriver.upstream("engine-6", GatewayDriver.MODEL));
        late.handle(new GatewayEvent.PeerCrashesReceived(shared.crashes()));
        late.advance(GatewayDriver.TICK);
        assertThat(refusal(late.arrive(THIRD_DEADLY, ROUTE, prompt("third", "deadly"), "account")))
                .contains(RefusalReason.UPSTREAM_CRASHES);
    }

    @Test
    void partThatIsServedElsewhereIsNoCause() {
        arrive(FIRST_DEADLY, ROUTE, "common", "unlucky");
        crashUnder(FIRST_DEADLY);
        gateway.handle(new GatewayEvent.PeerConnected("peer"));
        GatewayAction.ShareCrashes shared = gateway.crashesSharedAfter(Duration.ofSeconds(1));
        GatewayDriver peer = new GatewayDriver("peer");
        peer.register(GatewayDriver.upstream("engine-6", GatewayDriver.MODEL));
        peer.handle(new GatewayEvent.PeerCrashesReceived(shared.crashes()));
        peer.arrive(SOUND, ROUTE, prompt("unlucky"), "account");
        peer.handle(new GatewayEvent.ResponseStarted(SOUND, 1, true, Optional.empty()));
        gateway.handle(new GatewayEvent.PeerCrashesReceived(
                peer.crashesSharedAfter(Duration.ofSeconds(1)).crashes()));
        arrive(SECOND_DEADLY, ROUTE, "other", "unlucky");
        crashUnder(SECOND_DEADLY);
        assertThat(GatewayDriver.dispatchedTo(arrive(THIRD_DEADLY, ROUTE, "third", "unlucky")))
                .isPresent();
    }

    @Test
    void partThatWasServedBeforeIsTrustedByPeersToo() {
        arrive(SOUND, ROUTE, "popular");
        gateway.handle(new GatewayEvent.ResponseStarted(SOUND, 1, true, Optional.empty()));
        arrive(FIRST_DEADLY, ROUTE, "popular");
        crashUnder(FIRST_DEADLY);
        arrive(SECOND_DEADLY, ROUTE, "popular");
        crashUnder(SECOND_DEADLY);
        assertThat(GatewayDriver.dispatchedTo(arrive(THIRD_DEADLY, ROUTE, "popular")))
                .isPresent();
        gateway.handle(new GatewayEvent.PeerConnected("peer"));
        GatewayDriver peer = new GatewayDriver("peer");
        peer.register(GatewayDriver.upstream("engine-6", GatewayDriver.MODEL));
        peer.handle(new GatewayEvent.PeerCrashesReceived(
                gateway.crashesSharedAfter(Duration.ofSeconds(1)).crashes()));
        peer.advance(GatewayDriver.TICK);
        assertThat(GatewayDriver.dispatchedTo(peer.arrive(SOUND, ROUTE, prompt("popular"), "account")))
                .isPresent();
    }

    @Test
    void failureOfUpstreamClearsNothing() {
        arrive(FIRST_DEADLY, ROUTE, "deadly");
        crashUnder(FIRST_DEADLY);
        arrive(SOUND, ROUTE, "deadly");
        gateway.handle(new GatewayEvent.ResponseStarted(SOUND, 1, false, Optional.empty()));
        arrive(SECOND_DEADLY, ROUTE, "deadly");
        crashUnder(SECOND_DEADLY);
        assertThat(refusal(arrive(THIRD_DEADLY, ROUTE, "deadly"))).contains(RefusalReason.UPSTREAM_CRASHES);
    }

    @Test
    void requestIsServedAgainWhenEvidenceIsOld() {
        crashTwice();
        gateway.advance(GatewayDriver.LIMITS.crashRetention());
        assertThat(GatewayDriver.dispatchedTo(arrive(THIRD_DEADLY, ROUTE, "third", "deadly")))
                .isPresent();
    }
}
