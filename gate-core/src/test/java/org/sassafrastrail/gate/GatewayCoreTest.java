package org.sassafrastrail.gate;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;
import org.sassafrastrail.model.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the decisions of a gateway, event by event. */
class GatewayCoreTest {

    private static final Route PLAIN_ROUTE = GatewayDriver.route("book", GatewayDriver.SERVICE, false, false, 1);
    private static final Route IDEMPOTENT_ROUTE = GatewayDriver.route("list", GatewayDriver.SERVICE, true, false, 2);
    private static final Route MODEL_ROUTE = GatewayDriver.route("tell", GatewayDriver.MODEL, false, true, 1);

    private static final AccountStanding NO_TOKENS = new AccountStanding(0, 0, Double.POSITIVE_INFINITY, 1);

    private final GatewayDriver gateway = new GatewayDriver();

    private void registerServices() {
        gateway.register(
                GatewayDriver.upstream("one", GatewayDriver.SERVICE),
                GatewayDriver.upstream("two", GatewayDriver.SERVICE));
    }

    private void registerEngines() {
        gateway.register(
                GatewayDriver.upstream("one", GatewayDriver.MODEL), GatewayDriver.upstream("two", GatewayDriver.MODEL));
    }

    @Test
    void plainRequestsSpreadOverUpstreams() {
        registerServices();
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(1, PLAIN_ROUTE)))
                .isPresent()
                .isNotEqualTo(GatewayDriver.dispatchedTo(gateway.arrive(2, PLAIN_ROUTE)));
    }

    @Test
    void allGatewaysDispatchSessionToSameEngine() {
        registerEngines();
        GatewayDriver other = new GatewayDriver();
        other.register(
                GatewayDriver.upstream("two", GatewayDriver.MODEL), GatewayDriver.upstream("one", GatewayDriver.MODEL));
        IntStream.range(0, 20).forEach(session -> {
            Prompt prompt = GatewayDriver.prompt("session-" + session, 3000, 4000);
            String here = GatewayDriver.dispatchedTo(gateway.arrive(session, MODEL_ROUTE, prompt, "account"))
                    .orElseThrow();
            gateway.endAttempt(session, 1, new AttemptResult.Delivered());
            assertThat(GatewayDriver.dispatchedTo(other.arrive(session, MODEL_ROUTE, prompt, "account")))
                    .contains(here);
            other.endAttempt(session, 1, new AttemptResult.Delivered());
        });
    }

    @Test
    void requestStaysQueuedWhileAllEnginesExceedPrefillLimit() {
        registerEngines();
        Prompt prompt = GatewayDriver.prompt("session", 3000, 40_000);
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(1, MODEL_ROUTE, prompt, "account")))
                .isPresent();
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(2, MODEL_ROUTE, prompt, "account")))
                .isPresent();
        assertThat(gateway.arrive(3, MODEL_ROUTE, prompt, "account")).isEmpty();
        assertThat(GatewayDriver.dispatchedTo(
                        gateway.handle(new GatewayEvent.ResponseStarted(1, 1, true, Optional.empty()))))
                .isPresent();
    }

    @Test
    void accountWithFewestServedTokensIsDispatchedFirst() {
        registerEngines();
        Prompt prompt = GatewayDriver.prompt("session", 3000, 40_000);
        gateway.arrive(1, MODEL_ROUTE, prompt, "greedy");
        gateway.arrive(2, MODEL_ROUTE, prompt, "greedy");
        gateway.arrive(3, MODEL_ROUTE, prompt, "greedy");
        gateway.arrive(4, MODEL_ROUTE, prompt, "modest");
        List<GatewayAction> actions = gateway.handle(new GatewayEvent.ResponseStarted(1, 1, true, Optional.empty()));
        assertThat(GatewayDriver.first(actions, GatewayAction.Dispatch.class)
                        .orElseThrow()
                        .call())
                .isEqualTo(4);
    }

    @Test
    void servedTokensReportedByPeersCount() {
        registerEngines();
        Prompt prompt = GatewayDriver.prompt("session", 3000, 40_000);
        gateway.arrive(1, MODEL_ROUTE, prompt, "here");
        gateway.arrive(2, MODEL_ROUTE, prompt, "here");
        gateway.handle(new GatewayEvent.PeerReportReceived(
                "peer",
                new GatewayReport(
                        true,
                        HashTreePMap.empty(),
                        HashTreePMap.singleton("elsewhere", new AccountTokens(900_000, 900_000)))));
        gateway.arrive(3, MODEL_ROUTE, prompt, "elsewhere");
        gateway.arrive(4, MODEL_ROUTE, prompt, "here");
        List<GatewayAction> actions = gateway.handle(new GatewayEvent.ResponseStarted(1, 1, true, Optional.empty()));
        assertThat(GatewayDriver.first(actions, GatewayAction.Dispatch.class)
                        .orElseThrow()
                        .call())
                .isEqualTo(4);
    }

    /** Guards against the ejection of a sound upstream because of callers that left before their requests were sent. */
    @Test
    void requestsThatWereNotSentDoNotCountAgainstUpstream() {
        gateway.register(GatewayDriver.upstream("one", GatewayDriver.SERVICE));
        LongStream.rangeClosed(1, GatewayDriver.LIMITS.ejectionThreshold()).forEach(number -> {
            gateway.arrive(number, PLAIN_ROUTE);
            gateway.endAttempt(number, 1, new AttemptResult.NotSent());
        });
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(9, PLAIN_ROUTE))).contains("one");
    }

    /**
     * Guards against FAIR: an account that requested many times its fair share left others less than half of theirs.
     */
    @Test
    void accountAboveFairShareLeavesCapacityToOthers() {
        gateway.register(GatewayDriver.upstream("one", GatewayDriver.MODEL));
        AccountTokens modest = new AccountTokens(3_000_000, 100_000);
        peerAccounts(Map.of(
                "greedy", new AccountTokens(9_000_000, 9_000_000), "modest", modest, "small", modest, "mild", modest));
        gateway.peerLoad("other", "one", 1, 15_000);
        gateway.advance(GatewayDriver.TICK);
        Prompt prompt = GatewayDriver.prompt("session", 3000, 4000);
        assertThat(gateway.arrive(1, MODEL_ROUTE, prompt, "greedy")).isEmpty();
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(2, MODEL_ROUTE, prompt, "modest")))
                .isPresent();
    }

    @Test
    void accountMayUseFullCapacityWhileAllDemandIsServed() {
        gateway.register(GatewayDriver.upstream("one", GatewayDriver.MODEL));
        peerAccounts(
                Map.of("large", new AccountTokens(9_000_000, 9_000_000), "small", new AccountTokens(100_000, 100_000)));
        gateway.peerLoad("other", "one", 1, 15_000);
        gateway.advance(GatewayDriver.TICK);
        assertThat(GatewayDriver.dispatchedTo(
                        gateway.arrive(1, MODEL_ROUTE, GatewayDriver.prompt("session", 3000, 4000), "large")))
                .isPresent();
    }

    @Test
    void servingBeyondConfiguredCapacityDoesNotRaiseFairShareLevel() {
        gateway.handle(new GatewayEvent.ConfigurationReceived(GatewayDriver.configuration(2, 1_000_000)));
        gateway.register(GatewayDriver.upstream("one", GatewayDriver.MODEL));
        peerAccounts(
                Map.of("large", new AccountTokens(9_000_000, 9_000_000), "small", new AccountTokens(100_000, 100_000)));
        gateway.peerLoad("other", "one", 1, 15_000);
        gateway.advance(GatewayDriver.TICK);
        Prompt prompt = GatewayDriver.prompt("session", 3000, 4000);
        assertThat(gateway.arrive(1, MODEL_ROUTE, prompt, "large")).isEmpty();
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(2, MODEL_ROUTE, prompt, "small")))
                .isPresent();
    }

    private void peerAccounts(Map<String, AccountTokens> accounts) {
        gateway.handle(new GatewayEvent.PeerConnected("peer"));
        gateway.handle(new GatewayEvent.PeerReportReceived(
                "peer", new GatewayReport(true, HashTreePMap.empty(), HashTreePMap.from(accounts))));
    }

    @Test
    void reportContainsRequestedAndServedTokens() {
        gateway.register(GatewayDriver.upstream("one", GatewayDriver.MODEL));
        Prompt prompt = GatewayDriver.prompt("session", 3000, 60_000);
        gateway.arrive(1, MODEL_ROUTE, prompt, "served");
        gateway.arrive(2, MODEL_ROUTE, prompt, "waits");
        GatewayReport report = gateway.reportAfter(Duration.ZERO).orElseThrow().report();
        assertThat(report.accounts())
                .containsOnly(
                        Map.entry("served", new AccountTokens(prompt.cost(), prompt.cost())),
                        Map.entry("waits", new AccountTokens(prompt.cost(), 0)));
    }

    @Test
    void queuedRequestIsReportedOnce() {
        gateway.handle(new GatewayEvent.PeerConnected("peer"));
        gateway.reportAfter(Duration.ofMillis(100));
        gateway.arrive(1, MODEL_ROUTE, GatewayDriver.prompt("session", 3000, 4000), "waits");
        assertThat(gateway.reportAfter(Duration.ofMillis(100))).isPresent();
        assertThat(gateway.reportAfter(Duration.ofMillis(100))).isEmpty();
    }

    @Test
    void requestForFullEngineDoesNotBlockRequestForAnother() {
        gateway.register(
                GatewayDriver.upstream("one", GatewayDriver.MODEL), GatewayDriver.upstream("two", GatewayDriver.MODEL));
        gateway.peerLoad("a", "one", 1, 60_000);
        gateway.peerLoad("b", "two", 1, 60_000);
        Map<String, String> engineSessions =
                Map.of("one", sessionWithFirstChoice("one"), "two", sessionWithFirstChoice("two"));
        gateway.arrive(101, MODEL_ROUTE, GatewayDriver.prompt(engineSessions.get("one"), 30_000, 31_000), "account");
        gateway.arrive(102, MODEL_ROUTE, GatewayDriver.prompt(engineSessions.get("two"), 30_000, 31_000), "account");
        gateway.peerLoad("b", "two", 1, 0);
        assertThat(GatewayDriver.dispatchedTo(gateway.advance(GatewayDriver.TICK)))
                .contains("two");
    }

    /** Returns a session that ranks the upstream first. */
    private String sessionWithFirstChoice(String upstream) {
        return IntStream.range(0, 100)
                .mapToObj(number -> "session-" + number)
                .filter(session -> firstChoice(session).equals(upstream))
                .findFirst()
                .orElseThrow();
    }

    private static String firstChoice(String session) {
        GatewayDriver idle = new GatewayDriver();
        idle.register(
                GatewayDriver.upstream("one", GatewayDriver.MODEL), GatewayDriver.upstream("two", GatewayDriver.MODEL));
        return GatewayDriver.dispatchedTo(
                        idle.arrive(1, MODEL_ROUTE, GatewayDriver.prompt(session, 3000, 3500), "account"))
                .orElseThrow();
    }

    @Test
    void drainingOrUnregisteredOrOutOfServiceUpstreamGetsNoRequests() {
        gateway.register(GatewayDriver.draining(GatewayDriver.upstream("one", GatewayDriver.SERVICE)));
        assertThat(gateway.arrive(1, PLAIN_ROUTE)).isEmpty();
        gateway.unregister("one");
        gateway.register(GatewayDriver.upstream("two", GatewayDriver.SERVICE));
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(2, PLAIN_ROUTE))).contains("two");
        gateway.domainOut("domain-two");
        assertThat(gateway.arrive(3, PLAIN_ROUTE)).isEmpty();
        gateway.register(GatewayDriver.upstream("three", GatewayDriver.SERVICE));
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(4, PLAIN_ROUTE))).contains("three");
    }

    @Test
    void requestThatMayHaveRunIsNotRetried() {
        registerServices();
        gateway.arrive(1, PLAIN_ROUTE);
        List<GatewayAction> actions = gateway.endAttempt(1, 1, new AttemptResult.Lost());
        assertThat(actions).containsExactly(new GatewayAction.ReportUnknownOutcome(1, false));
    }

    @Test
    void requestThatDidNotRunIsRefusedAfterLastAttempt() {
        registerServices();
        gateway.arrive(1, PLAIN_ROUTE);
        assertThat(gateway.endAttempt(1, 1, new AttemptResult.Declined()))
                .containsExactly(new GatewayAction.Refuse(
                        1,
                        RefusalReason.UPSTREAM_DECLINED,
                        GatewayDriver.LIMITS.retryAfter(),
                        Duration.ZERO,
                        new CapacitySnapshot(1, 1, 0, 1, 1),
                        NO_TOKENS));
    }

    @Test
    void requestIsRetriedElsewhereAfterFailedConnection() {
        registerServices();
        String first =
                GatewayDriver.dispatchedTo(gateway.arrive(1, PLAIN_ROUTE)).orElseThrow();
        assertThat(GatewayDriver.dispatchedTo(gateway.endAttempt(1, 1, new AttemptResult.NotConnected())))
                .isPresent()
                .isNotEqualTo(java.util.Optional.of(first));
    }

    @Test
    void idempotentRequestIsRetriedOnceThenFailureIsDelivered() {
        registerServices();
        String first =
                GatewayDriver.dispatchedTo(gateway.arrive(1, IDEMPOTENT_ROUTE)).orElseThrow();
        String second = GatewayDriver.dispatchedTo(gateway.endAttempt(1, 1, new AttemptResult.Failed()))
                .orElseThrow();
        assertThat(second).isNotEqualTo(first);
        assertThat(gateway.endAttempt(1, 2, new AttemptResult.Failed()))
                .containsExactly(new GatewayAction.DeliverStoredFailure(1));
    }

    @Test
    void retriesStayWithinBudget() {
        registerServices();
        long retries = LongStream.range(0, 100)
                .filter(number -> {
                    gateway.arrive(number, IDEMPOTENT_ROUTE);
                    boolean retried = GatewayDriver.dispatchedTo(
                                    gateway.endAttempt(number, 1, new AttemptResult.Failed()))
                            .isPresent();
                    gateway.endAttempt(number, 2, new AttemptResult.Delivered());
                    return retried;
                })
                .count();
        double allowed = 100 * GatewayDriver.LIMITS.retryShare() + GatewayDriver.LIMITS.retryExtra();
        assertThat(retries).isPositive().isLessThanOrEqualTo(Math.round(allowed));
    }

    @Test
    void requestQueuedTooLongIsRefusedWithRetryAfter() {
        gateway.arrive(1, PLAIN_ROUTE);
        assertThat(gateway.advance(Duration.ofMillis(150))).isEmpty();
        assertThat(gateway.advance(Duration.ofMillis(60)))
                .containsExactly(new GatewayAction.Refuse(
                        1,
                        RefusalReason.HELD_TOO_LONG,
                        GatewayDriver.LIMITS.retryAfter(),
                        Duration.ofMillis(210),
                        new CapacitySnapshot(0, 0, 0, 1, 1),
                        NO_TOKENS));
    }

    @Test
    void attemptIsCancelledAndOutcomeReportedAtRouteTimeout() {
        registerServices();
        gateway.arrive(1, PLAIN_ROUTE);
        assertThat(gateway.advance(Duration.ofMillis(1999))).isEmpty();
        assertThat(gateway.advance(Duration.ofMillis(1)))
                .containsExactly(
                        new GatewayAction.CancelAttempt(1, 1), new GatewayAction.ReportUnknownOutcome(1, true));
        assertThat(gateway.state().isBusy()).isFalse();
    }

    @Test
    void callerDisconnectCancelsAttempt() {
        registerServices();
        gateway.arrive(1, PLAIN_ROUTE);
        assertThat(gateway.handle(new GatewayEvent.CallerDisconnected(1)))
                .containsExactly(new GatewayAction.CancelAttempt(1, 1));
        assertThat(gateway.endAttempt(1, 1, new AttemptResult.Lost())).isEmpty();
    }

    @Test
    void coldUpstreamGetsOnlyGatewaysShareOfColdRate() {
        gateway.handle(new GatewayEvent.GatewaysChanged(HashTreePSet.from(List.of("a", "b", "c", "d"))));
        gateway.register(GatewayDriver.cold(GatewayDriver.upstream("one", GatewayDriver.MODEL), Duration.ofSeconds(3)));
        long allowed = Math.round(Math.floor((10 * 1.5 + 5) / 4));
        long sent = LongStream.range(0, 20)
                .filter(number -> {
                    boolean dispatched = GatewayDriver.dispatchedTo(
                                    gateway.arrive(number, MODEL_ROUTE, GatewayDriver.prompt("s", 10, 20), "account"))
                            .isPresent();
                    gateway.endAttempt(number, 1, new AttemptResult.Delivered());
                    return dispatched;
                })
                .count();
        assertThat(sent).isEqualTo(allowed);
    }

    @Test
    void upstreamIsEjectedAfterConsecutiveFailures() {
        gateway.register(GatewayDriver.upstream("one", GatewayDriver.SERVICE));
        IntStream.range(0, GatewayDriver.LIMITS.ejectionThreshold()).forEach(number -> {
            gateway.arrive(number, PLAIN_ROUTE);
            gateway.endAttempt(number, 1, new AttemptResult.Lost());
        });
        assertThat(gateway.arrive(10, PLAIN_ROUTE)).isEmpty();
        gateway.handle(new GatewayEvent.CallerDisconnected(10));
        assertThat(gateway.advance(GatewayDriver.LIMITS.ejectionDuration()))
                .containsExactly(new GatewayAction.ReportUpstreamStatus(
                        new UpstreamIdentifier("one"), UpstreamStatus.BACK, "ejection period ended"));
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(11, PLAIN_ROUTE))).contains("one");
    }

    @Test
    void loadOfPeersCounts() {
        registerServices();
        gateway.peerLoad("peer", "one", 5, 0);
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(1, PLAIN_ROUTE))).contains("two");
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(2, PLAIN_ROUTE))).contains("two");
        gateway.handle(new GatewayEvent.PeerDisconnected("peer"));
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(3, PLAIN_ROUTE))).contains("one");
    }

    @Test
    void gatewayWithoutItsThreePeersUsesQuarterOfCapacity() {
        gateway.handle(new GatewayEvent.GatewaysChanged(HashTreePSet.from(List.of("a", "b", "c", "d"))));
        gateway.register(GatewayDriver.upstream("one", GatewayDriver.MODEL));
        Prompt prompt = GatewayDriver.prompt("s", 100, 5_000);
        LongStream.range(0, 10).forEach(number -> gateway.arrive(number, MODEL_ROUTE, prompt, "account"));
        UpstreamIdentifier engine = new UpstreamIdentifier("one");
        assertThat(gateway.state().upstreams().get(engine).running()).isEqualTo(2);
        List.of("b", "c", "d").forEach(peer -> gateway.handle(new GatewayEvent.PeerConnected(peer)));
        gateway.advance(Duration.ofMillis(1));
        assertThat(gateway.state().upstreams().get(engine).running()).isGreaterThan(2);
    }

    @Test
    void loadIsReportedWhenItChanges() {
        registerServices();
        gateway.handle(new GatewayEvent.PeerConnected("peer"));
        assertThat(gateway.reportAfter(Duration.ofMillis(100)))
                .contains(new GatewayAction.SendReport(GatewayReport.NOTHING));
        assertThat(gateway.reportAfter(Duration.ofMillis(100))).isEmpty();
        gateway.arrive(1, PLAIN_ROUTE);
        assertThat(gateway.reportAfter(Duration.ofMillis(100))
                        .orElseThrow()
                        .report()
                        .loads())
                .hasSize(1);
        assertThat(gateway.reportAfter(Duration.ofMillis(100))).isEmpty();
        gateway.endAttempt(1, 1, new AttemptResult.Delivered());
        assertThat(gateway.reportAfter(Duration.ofMillis(100))
                        .orElseThrow()
                        .report()
                        .loads()
                        .values())
                .containsExactly(GatewayLoad.NONE);
    }

    /** Peers close a link on which nothing arrives, so an idle gateway has to send something. */
    @Test
    void idleGatewaySendsFullReportEverySecond() {
        gateway.handle(new GatewayEvent.PeerConnected("peer"));
        long reports = IntStream.range(0, 40)
                .filter(tick -> gateway.reportAfter(Duration.ofMillis(125)).isPresent())
                .count();
        assertThat(reports).isBetween(4L, 6L);
    }

    @Test
    void fullReportIsSentOncePerSecondAndIncrementalReportsBetween() {
        registerServices();
        gateway.handle(new GatewayEvent.PeerConnected("peer"));
        gateway.arrive(1, PLAIN_ROUTE);
        GatewayReport first =
                gateway.reportAfter(Duration.ofMillis(100)).orElseThrow().report();
        assertThat(first.full()).isTrue();
        gateway.arrive(2, PLAIN_ROUTE);
        GatewayReport change =
                gateway.reportAfter(Duration.ofMillis(100)).orElseThrow().report();
        assertThat(change.full()).isFalse();
        assertThat(change.loads())
                .hasSize(1)
                .doesNotContainKeys(first.loads().keySet().iterator().next());
        GatewayReport later =
                gateway.reportAfter(Duration.ofMillis(900)).orElseThrow().report();
        assertThat(later.full()).isTrue();
        assertThat(later.loads()).hasSize(2);
    }

    @Test
    void reportIntervalGrowsWithNumberOfPeers() {
        registerServices();
        List.of("a", "b").forEach(peer -> gateway.handle(new GatewayEvent.PeerConnected(peer)));
        gateway.arrive(1, PLAIN_ROUTE);
        assertThat(gateway.reportAfter(Duration.ofMillis(1))).isPresent();
        gateway.arrive(2, PLAIN_ROUTE);
        assertThat(gateway.reportAfter(Duration.ofMillis(199))).isEmpty();
        assertThat(gateway.reportAfter(Duration.ofMillis(1))).isPresent();
    }

    @Test
    void incrementalReportReplacesOnlyListedLoads() {
        Peers peers = Peers.none("a")
                .withReport(
                        "peer",
                        new GatewayReport(true, Map.of(engine("one"), load(1), engine("two"), load(2)), Map.of()))
                .withReport("other", new GatewayReport(true, Map.of(engine("one"), load(4)), Map.of()))
                .withReport("peer", new GatewayReport(false, Map.of(engine("two"), load(3)), Map.of()));
        assertThat(peers.loads()).isEqualTo(Map.of(engine("one"), load(5), engine("two"), load(3)));
        Peers ended =
                peers.withReport("peer", new GatewayReport(false, Map.of(engine("two"), GatewayLoad.NONE), Map.of()));
        assertThat(ended.loads()).isEqualTo(Map.of(engine("one"), load(5)));
        assertThat(peers.withReport("peer", new GatewayReport(true, Map.of(engine("two"), load(1)), Map.of()))
                        .loads())
                .isEqualTo(Map.of(engine("one"), load(4), engine("two"), load(1)));
        assertThat(peers.withoutPeer("peer").loads()).isEqualTo(Map.of(engine("one"), load(4)));
    }

    private static UpstreamIdentifier engine(String name) {
        return new UpstreamIdentifier(name);
    }

    private static GatewayLoad load(int running) {
        return new GatewayLoad(running, 100L * running);
    }

    @Test
    void sessionMovesOnlyAwayFromOverloadedEngineAndToSameSecondEngine() {
        gateway.register(
                GatewayDriver.upstream("one", GatewayDriver.MODEL),
                GatewayDriver.upstream("two", GatewayDriver.MODEL),
                GatewayDriver.upstream("three", GatewayDriver.MODEL));
        Prompt prompt = GatewayDriver.prompt("session", 3000, 3500);
        String first = GatewayDriver.dispatchedTo(gateway.arrive(1, MODEL_ROUTE, prompt, "account"))
                .orElseThrow();
        gateway.endAttempt(1, 1, new AttemptResult.Delivered());
        gateway.peerLoad("peer", first, 1, 5_000);
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(2, MODEL_ROUTE, prompt, "account")))
                .contains(first);
        gateway.endAttempt(2, 1, new AttemptResult.Delivered());
        gateway.peerLoad("peer", first, 1, 20_000);
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(3, MODEL_ROUTE, prompt, "account")))
                .contains(first);
        gateway.endAttempt(3, 1, new AttemptResult.Delivered());
        gateway.peerLoad("peer", first, 1, 40_000);
        String second = GatewayDriver.dispatchedTo(gateway.arrive(4, MODEL_ROUTE, prompt, "account"))
                .orElseThrow();
        assertThat(second).isNotEqualTo(first);
        gateway.endAttempt(4, 1, new AttemptResult.Delivered());
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(5, MODEL_ROUTE, prompt, "account")))
                .contains(second);
    }

    @Test
    void olderConfigurationIsIgnored() {
        assertThat(gateway.handle(new GatewayEvent.ConfigurationReceived(GatewayDriver.configuration(5))))
                .containsExactly(new GatewayAction.ReportConfigurationInForce(5));
        assertThat(gateway.handle(new GatewayEvent.ConfigurationReceived(GatewayDriver.configuration(4))))
                .isEmpty();
        assertThat(gateway.state().configuration().orElseThrow().version()).isEqualTo(5);
    }

    /** Guards against FAILBACK: with more gateways than requests that a cold upstream takes, each sent it one. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 22, 33, 360})
    void gatewaysTogetherKeepToRateOfColdUpstream(int gateways) {
        PSet<String> names = HashTreePSet.from(IntStream.range(0, gateways)
                .mapToObj(number -> "gateway-" + number)
                .toList());
        int bound = (int) (10 * GatewayDriver.LIMITS.coldBurstFactor() + GatewayDriver.LIMITS.coldBurstExtra());
        int sent =
                names.stream().mapToInt(name -> dispatchedToCold(name, names)).sum();
        assertThat(sent).isEqualTo(bound);
    }

    private static int dispatchedToCold(String name, PSet<String> names) {
        GatewayDriver one = new GatewayDriver(name);
        one.handle(new GatewayEvent.GatewaysChanged(names));
        names.minus(name).forEach(peer -> one.handle(new GatewayEvent.PeerConnected(peer)));
        one.register(GatewayDriver.cold(GatewayDriver.upstream("one", GatewayDriver.MODEL), Duration.ofSeconds(3)));
        return (int) LongStream.range(0, 40)
                .filter(number -> {
                    Prompt prompt = GatewayDriver.prompt("s", 10, 20);
                    boolean sent = GatewayDriver.dispatchedTo(one.arrive(number, MODEL_ROUTE, prompt, "account"))
                            .isPresent();
                    one.endAttempt(number, 1, new AttemptResult.Delivered());
                    return sent;
                })
                .count();
    }

    @Test
    void newIncarnationUnderSameIdentifierStartsWithoutLoad() {
        gateway.register(GatewayDriver.cold(GatewayDriver.upstream("one", GatewayDriver.MODEL), Duration.ofSeconds(3)));
        gateway.arrive(1, MODEL_ROUTE, GatewayDriver.prompt("s", 10, 20), "account");
        Upstream next = GatewayDriver.upstream("one", GatewayDriver.MODEL);
        gateway.register(new Upstream(
                next.identifier(),
                next.target(),
                next.host(),
                next.port(),
                next.domain(),
                next.version(),
                next.slots(),
                false,
                Duration.ZERO,
                next.startedAtMillis() + 1,
                1));
        assertThat(gateway.state().upstreams().get(next.identifier()).running()).isZero();
        gateway.endAttempt(1, 1, new AttemptResult.Lost());
        assertThat(gateway.state().upstreams().get(next.identifier()).running()).isZero();
    }

    @Test
    void requestArrivingLateInShutdownIsRefusedAndNotForwarded() {
        registerServices();
        gateway.handle(new GatewayEvent.StopRequested());
        gateway.advance(GatewayDriver.LIMITS.drain().admission());
        Route longRoute = GatewayDriver.route("long", GatewayDriver.SERVICE, false, false, 1, Duration.ofSeconds(100));
        List<GatewayAction> actions = gateway.arrive(1, longRoute);
        assertThat(GatewayDriver.dispatchedTo(actions)).isEmpty();
        assertThat(GatewayDriver.first(actions, GatewayAction.Refuse.class))
                .map(GatewayAction.Refuse::reason)
                .contains(RefusalReason.ROUTER_STOPPING);
    }

    /** Guards against LOST: callers of gateways that were stopped in turn found none that took their requests. */
    @Test
    void requestThatExpiresBeforeEndOfShutdownIsServed() {
        registerServices();
        gateway.handle(new GatewayEvent.StopRequested());
        gateway.advance(GatewayDriver.LIMITS.drain().admission());
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(1, PLAIN_ROUTE))).isPresent();
    }

    @Test
    void requestRunningAtEndOfShutdownGetsFinalResponseBeforeProcessExits() {
        registerServices();
        Route longRoute = GatewayDriver.route("long", GatewayDriver.SERVICE, false, false, 1, Duration.ofSeconds(100));
        DrainSchedule drain = GatewayDriver.LIMITS.drain();
        Duration late = drain.admission().minusMillis(1);
        gateway.handle(new GatewayEvent.StopRequested());
        gateway.advance(late);
        assertThat(GatewayDriver.first(gateway.arrive(1, longRoute), GatewayAction.Dispatch.class))
                .map(GatewayAction.Dispatch::remainingTime)
                .contains(drain.lastResponse().minus(late));
        List<GatewayAction> actions = gateway.advance(drain.maximum().minus(late));
        assertThat(actions)
                .contains(new GatewayAction.ReportUnknownOutcome(1, true))
                .contains(new GatewayAction.Drained());
    }

    @Test
    void stoppingGatewayIsDrainedWhenNoRequestRuns() {
        registerServices();
        gateway.arrive(1, PLAIN_ROUTE);
        gateway.handle(new GatewayEvent.StopRequested());
        assertThat(gateway.state().ready()).isFalse();
        assertThat(gateway.advance(GatewayDriver.LIMITS.drain().minimum())).isEmpty();
        gateway.endAttempt(1, 1, new AttemptResult.Delivered());
        assertThat(gateway.advance(Duration.ofMillis(1))).containsExactly(new GatewayAction.Drained());
    }
}
