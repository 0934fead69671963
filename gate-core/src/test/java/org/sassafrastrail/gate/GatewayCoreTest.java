package org.sassafrastrail.gate;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.pcollections.HashTreePMap;
import org.sassafrastrail.model.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;

/** The decisions of a gateway, event by event. */
class GatewayCoreTest {

    private static final Route BOOK = Gate.route("book", Gate.DESK, false, false, 1);
    private static final Route LIST = Gate.route("list", Gate.DESK, true, false, 2);
    private static final Route TELL = Gate.route("tell", Gate.MODEL, false, true, 1);

    private final Gate gate = new Gate();

    private void registerDesks() {
        gate.register(Gate.upstream("one", Gate.DESK), Gate.upstream("two", Gate.DESK));
    }

    private void registerEngines() {
        gate.register(Gate.upstream("one", Gate.MODEL), Gate.upstream("two", Gate.MODEL));
    }

    @Test
    void plainRequestsSpread() {
        registerDesks();
        assertThat(Gate.sentTo(gate.arrive(1, BOOK))).isPresent().isNotEqualTo(Gate.sentTo(gate.arrive(2, BOOK)));
    }

    @Test
    void everyGatewaySendsASessionToTheSameEngine() {
        registerEngines();
        Gate other = new Gate();
        other.register(Gate.upstream("two", Gate.MODEL), Gate.upstream("one", Gate.MODEL));
        IntStream.range(0, 20).forEach(session -> {
            Prompt prompt = Gate.prompt("session-" + session, 3000, 4000);
            String here =
                    Gate.sentTo(gate.arrive(session, TELL, prompt, "account")).orElseThrow();
            gate.end(session, 1, new AttemptResult.Delivered());
            assertThat(Gate.sentTo(other.arrive(session, TELL, prompt, "account")))
                    .contains(here);
            other.end(session, 1, new AttemptResult.Delivered());
        });
    }

    @Test
    void aRequestWaitsWhenEveryEngineHasTooMuchToRead() {
        registerEngines();
        Prompt prompt = Gate.prompt("session", 3000, 40_000);
        assertThat(Gate.sentTo(gate.arrive(1, TELL, prompt, "account"))).isPresent();
        assertThat(Gate.sentTo(gate.arrive(2, TELL, prompt, "account"))).isPresent();
        assertThat(gate.arrive(3, TELL, prompt, "account")).isEmpty();
        assertThat(Gate.sentTo(gate.handle(new GatewayEvent.ResponseStarted(1, 1))))
                .isPresent();
    }

    @Test
    void theAccountThatGotLeastGoesFirst() {
        registerEngines();
        Prompt prompt = Gate.prompt("session", 3000, 40_000);
        gate.arrive(1, TELL, prompt, "greedy");
        gate.arrive(2, TELL, prompt, "greedy");
        gate.arrive(3, TELL, prompt, "greedy");
        gate.arrive(4, TELL, prompt, "modest");
        List<GatewayAction> actions = gate.handle(new GatewayEvent.ResponseStarted(1, 1));
        assertThat(Gate.only(actions, GatewayAction.Dispatch.class)
                        .orElseThrow()
                        .call())
                .isEqualTo(4);
    }

    @Test
    void whatAnAccountGotAtOtherGatewaysCounts() {
        registerEngines();
        Prompt prompt = Gate.prompt("session", 3000, 40_000);
        gate.arrive(1, TELL, prompt, "here");
        gate.arrive(2, TELL, prompt, "here");
        gate.handle(new GatewayEvent.PeerReportReceived(
                "peer",
                new GatewayReport(
                        true,
                        HashTreePMap.empty(),
                        HashTreePMap.singleton("elsewhere", new AccountTokens(900_000, 900_000)))));
        gate.arrive(3, TELL, prompt, "elsewhere");
        gate.arrive(4, TELL, prompt, "here");
        List<GatewayAction> actions = gate.handle(new GatewayEvent.ResponseStarted(1, 1));
        assertThat(Gate.only(actions, GatewayAction.Dispatch.class)
                        .orElseThrow()
                        .call())
                .isEqualTo(4);
    }

    /** Guards against FAIR: an account that asked for many times its share left others less than half of theirs. */
    @Test
    void anAccountAboveTheFairLevelLeavesRoomToTheOthers() {
        gate.register(Gate.upstream("one", Gate.MODEL));
        AccountTokens modest = new AccountTokens(3_000_000, 100_000);
        accountsElsewhere(Map.of(
                "greedy", new AccountTokens(9_000_000, 9_000_000), "modest", modest, "small", modest, "mild", modest));
        gate.elsewhere("other", "one", 1, 15_000);
        gate.pass(Gate.TICK);
        Prompt prompt = Gate.prompt("session", 3000, 4000);
        assertThat(gate.arrive(1, TELL, prompt, "greedy")).isEmpty();
        assertThat(Gate.sentTo(gate.arrive(2, TELL, prompt, "modest"))).isPresent();
    }

    @Test
    void whileAllGetWhatTheyAskForNobodyLeavesRoom() {
        gate.register(Gate.upstream("one", Gate.MODEL));
        accountsElsewhere(
                Map.of("large", new AccountTokens(9_000_000, 9_000_000), "small", new AccountTokens(100_000, 100_000)));
        gate.elsewhere("other", "one", 1, 15_000);
        gate.pass(Gate.TICK);
        assertThat(Gate.sentTo(gate.arrive(1, TELL, Gate.prompt("session", 3000, 4000), "large")))
                .isPresent();
    }

    @Test
    void whatIsGivenOutBeyondTheStatedCapacityDoesNotRaiseTheLevel() {
        gate.handle(new GatewayEvent.ConfigurationReceived(Gate.configuration(2, 1_000_000)));
        gate.register(Gate.upstream("one", Gate.MODEL));
        accountsElsewhere(
                Map.of("large", new AccountTokens(9_000_000, 9_000_000), "small", new AccountTokens(100_000, 100_000)));
        gate.elsewhere("other", "one", 1, 15_000);
        gate.pass(Gate.TICK);
        Prompt prompt = Gate.prompt("session", 3000, 4000);
        assertThat(gate.arrive(1, TELL, prompt, "large")).isEmpty();
        assertThat(Gate.sentTo(gate.arrive(2, TELL, prompt, "small"))).isPresent();
    }

    private void accountsElsewhere(Map<String, AccountTokens> accounts) {
        gate.handle(new GatewayEvent.PeerConnected("peer"));
        gate.handle(new GatewayEvent.PeerReportReceived(
                "peer", new GatewayReport(true, HashTreePMap.empty(), HashTreePMap.from(accounts))));
    }

    @Test
    void theOthersHearWhatAccountsAskedAndGotHere() {
        gate.register(Gate.upstream("one", Gate.MODEL));
        Prompt prompt = Gate.prompt("session", 3000, 60_000);
        gate.arrive(1, TELL, prompt, "served");
        gate.arrive(2, TELL, prompt, "waits");
        GatewayReport told = gate.told(Duration.ZERO).orElseThrow().report();
        assertThat(told.accounts())
                .containsOnly(
                        Map.entry("served", new AccountTokens(prompt.cost(), prompt.cost())),
                        Map.entry("waits", new AccountTokens(prompt.cost(), 0)));
    }

    @Test
    void theOthersHearOfARequestThatFindsNoRoom() {
        gate.handle(new GatewayEvent.PeerConnected("peer"));
        gate.told(Duration.ofMillis(100));
        gate.arrive(1, TELL, Gate.prompt("session", 3000, 4000), "waits");
        assertThat(gate.told(Duration.ofMillis(100))).isPresent();
        assertThat(gate.told(Duration.ofMillis(100))).isEmpty();
    }

    @Test
    void aRequestWhoseEngineIsFullDoesNotHoldUpOneForAnother() {
        gate.register(Gate.upstream("one", Gate.MODEL), Gate.upstream("two", Gate.MODEL));
        gate.elsewhere("a", "one", 1, 60_000);
        gate.elsewhere("b", "two", 1, 60_000);
        Map<String, String> homes = Map.of("one", sessionOf("one"), "two", sessionOf("two"));
        gate.arrive(101, TELL, Gate.prompt(homes.get("one"), 30_000, 31_000), "account");
        gate.arrive(102, TELL, Gate.prompt(homes.get("two"), 30_000, 31_000), "account");
        gate.elsewhere("b", "two", 1, 0);
        assertThat(Gate.sentTo(gate.pass(Gate.TICK))).contains("two");
    }

    /** A session that has the upstream for its first. */
    private String sessionOf(String upstream) {
        return IntStream.range(0, 100)
                .mapToObj(number -> "session-" + number)
                .filter(session -> home(session).equals(upstream))
                .findFirst()
                .orElseThrow();
    }

    private static String home(String session) {
        Gate idle = new Gate();
        idle.register(Gate.upstream("one", Gate.MODEL), Gate.upstream("two", Gate.MODEL));
        return Gate.sentTo(idle.arrive(1, TELL, Gate.prompt(session, 3000, 3500), "account"))
                .orElseThrow();
    }

    @Test
    void anUpstreamThatLeavesOrIsGoneOrInADomainOutGetsNothing() {
        gate.register(Gate.draining(Gate.upstream("one", Gate.DESK)));
        assertThat(gate.arrive(1, BOOK)).isEmpty();
        gate.unregister("one");
        gate.register(Gate.upstream("two", Gate.DESK));
        assertThat(Gate.sentTo(gate.arrive(2, BOOK))).contains("two");
        gate.out("domain-two");
        assertThat(gate.arrive(3, BOOK)).isEmpty();
        gate.register(Gate.upstream("three", Gate.DESK));
        assertThat(Gate.sentTo(gate.arrive(4, BOOK))).contains("three");
    }

    @Test
    void aRequestThatMayHaveRunIsNotTriedAgain() {
        registerDesks();
        gate.arrive(1, BOOK);
        List<GatewayAction> actions = gate.end(1, 1, new AttemptResult.Lost());
        assertThat(actions).containsExactly(new GatewayAction.ReportUnknownOutcome(1, false));
    }

    @Test
    void aRequestThatDidNotRunIsRefusedWhenNoAttemptIsLeft() {
        registerDesks();
        gate.arrive(1, BOOK);
        assertThat(gate.end(1, 1, new AttemptResult.Declined()))
                .containsExactly(new GatewayAction.Refuse(
                        1,
                        RefusalReason.UPSTREAM_DECLINED,
                        Gate.LIMITS.retryAfter(),
                        Duration.ZERO,
                        new CapacitySnapshot(1, 1, 0, 1, 1)));
    }

    @Test
    void aRequestThatNeverLeftGoesToAnotherUpstream() {
        registerDesks();
        String first = Gate.sentTo(gate.arrive(1, BOOK)).orElseThrow();
        assertThat(Gate.sentTo(gate.end(1, 1, new AttemptResult.NotConnected())))
                .isPresent()
                .isNotEqualTo(java.util.Optional.of(first));
    }

    @Test
    void aRepeatableRequestIsTriedOnceMoreAndThenGetsTheFailure() {
        registerDesks();
        String first = Gate.sentTo(gate.arrive(1, LIST)).orElseThrow();
        String second = Gate.sentTo(gate.end(1, 1, new AttemptResult.Failed())).orElseThrow();
        assertThat(second).isNotEqualTo(first);
        assertThat(gate.end(1, 2, new AttemptResult.Failed()))
                .containsExactly(new GatewayAction.DeliverStoredFailure(1));
    }

    @Test
    void repeatsStayWithinTheirBudget() {
        registerDesks();
        long repeated = LongStream.range(0, 100)
                .filter(number -> {
                    gate.arrive(number, LIST);
                    boolean again = Gate.sentTo(gate.end(number, 1, new AttemptResult.Failed()))
                            .isPresent();
                    gate.end(number, 2, new AttemptResult.Delivered());
                    return again;
                })
                .count();
        double allowed = 100 * Gate.LIMITS.retryShare() + Gate.LIMITS.retryExtra();
        assertThat(repeated).isPositive().isLessThanOrEqualTo(Math.round(allowed));
    }

    @Test
    void aRequestThatWaitsTooLongIsRefusedWithATimeToComeBack() {
        gate.arrive(1, BOOK);
        assertThat(gate.pass(Duration.ofMillis(150))).isEmpty();
        assertThat(gate.pass(Duration.ofMillis(60)))
                .containsExactly(new GatewayAction.Refuse(
                        1,
                        RefusalReason.HELD_TOO_LONG,
                        Gate.LIMITS.retryAfter(),
                        Duration.ofMillis(210),
                        new CapacitySnapshot(0, 0, 0, 1, 1)));
    }

    @Test
    void aRequestThatRunsPastItsRoutesTimeIsAbandonedAndAnswered() {
        registerDesks();
        gate.arrive(1, BOOK);
        assertThat(gate.pass(Duration.ofMillis(1999))).isEmpty();
        assertThat(gate.pass(Duration.ofMillis(1)))
                .containsExactly(
                        new GatewayAction.CancelAttempt(1, 1), new GatewayAction.ReportUnknownOutcome(1, true));
        assertThat(gate.state().isBusy()).isFalse();
    }

    @Test
    void aCallersLeaveEndsTheAttempt() {
        registerDesks();
        gate.arrive(1, BOOK);
        assertThat(gate.handle(new GatewayEvent.CallerDisconnected(1)))
                .containsExactly(new GatewayAction.CancelAttempt(1, 1));
        assertThat(gate.end(1, 1, new AttemptResult.Lost())).isEmpty();
    }

    @Test
    void aColdUpstreamGetsItsShareOfWhatItBears() {
        gate.handle(new GatewayEvent.GatewayCountChanged(4));
        gate.register(Gate.cold(Gate.upstream("one", Gate.MODEL), Duration.ofSeconds(3)));
        long allowed = Math.round(Math.floor((10 * 1.5 + 5) / 4));
        long sent = LongStream.range(0, 20)
                .filter(number -> {
                    boolean gone = Gate.sentTo(gate.arrive(number, TELL, Gate.prompt("s", 10, 20), "account"))
                            .isPresent();
                    gate.end(number, 1, new AttemptResult.Delivered());
                    return gone;
                })
                .count();
        assertThat(sent).isEqualTo(allowed);
    }

    @Test
    void anUpstreamThatFailsInARowGetsNothingForAWhile() {
        gate.register(Gate.upstream("one", Gate.DESK));
        IntStream.range(0, Gate.LIMITS.ejectionThreshold()).forEach(number -> {
            gate.arrive(number, BOOK);
            gate.end(number, 1, new AttemptResult.Lost());
        });
        assertThat(gate.arrive(10, BOOK)).isEmpty();
        gate.handle(new GatewayEvent.CallerDisconnected(10));
        assertThat(gate.pass(Gate.LIMITS.ejectionDuration()))
                .containsExactly(new GatewayAction.ReportUpstreamStatus(
                        new UpstreamIdentifier("one"), UpstreamStatus.BACK, "the time out is over"));
        assertThat(Gate.sentTo(gate.arrive(11, BOOK))).contains("one");
    }

    @Test
    void whatOtherGatewaysHaveAtAnUpstreamCounts() {
        registerDesks();
        gate.elsewhere("peer", "one", 5, 0);
        assertThat(Gate.sentTo(gate.arrive(1, BOOK))).contains("two");
        assertThat(Gate.sentTo(gate.arrive(2, BOOK))).contains("two");
        gate.handle(new GatewayEvent.PeerDisconnected("peer"));
        assertThat(Gate.sentTo(gate.arrive(3, BOOK))).contains("one");
    }

    @Test
    void aGatewayThatHearsFromNoneOfFourTakesAQuarterOfTheRoom() {
        gate.handle(new GatewayEvent.GatewayCountChanged(4));
        gate.register(Gate.upstream("one", Gate.MODEL));
        Prompt prompt = Gate.prompt("s", 100, 5_000);
        LongStream.range(0, 10).forEach(number -> gate.arrive(number, TELL, prompt, "account"));
        UpstreamIdentifier engine = new UpstreamIdentifier("one");
        assertThat(gate.state().upstreams().get(engine).running()).isEqualTo(2);
        List.of("b", "c", "d").forEach(peer -> gate.handle(new GatewayEvent.PeerConnected(peer)));
        gate.pass(Duration.ofMillis(1));
        assertThat(gate.state().upstreams().get(engine).running()).isGreaterThan(2);
    }

    @Test
    void theOthersHearOfTheLoadWhenItChanged() {
        registerDesks();
        gate.handle(new GatewayEvent.PeerConnected("peer"));
        assertThat(gate.told(Duration.ofMillis(100))).isEmpty();
        gate.arrive(1, BOOK);
        assertThat(gate.told(Duration.ofMillis(100)).orElseThrow().report().loads())
                .hasSize(1);
        assertThat(gate.told(Duration.ofMillis(100))).isEmpty();
        gate.end(1, 1, new AttemptResult.Delivered());
        assertThat(gate.told(Duration.ofMillis(100))
                        .orElseThrow()
                        .report()
                        .loads()
                        .values())
                .containsExactly(PeerLoad.NONE);
    }

    @Test
    void theOthersHearAllThereIsOnceASecondAndOtherwiseWhatChanged() {
        registerDesks();
        gate.handle(new GatewayEvent.PeerConnected("peer"));
        gate.arrive(1, BOOK);
        GatewayReport first = gate.told(Duration.ofMillis(100)).orElseThrow().report();
        assertThat(first.full()).isTrue();
        gate.arrive(2, BOOK);
        GatewayReport change = gate.told(Duration.ofMillis(100)).orElseThrow().report();
        assertThat(change.full()).isFalse();
        assertThat(change.loads())
                .hasSize(1)
                .doesNotContainKeys(first.loads().keySet().iterator().next());
        GatewayReport later = gate.told(Duration.ofMillis(900)).orElseThrow().report();
        assertThat(later.full()).isTrue();
        assertThat(later.loads()).hasSize(2);
    }

    @Test
    void withMorePeersEachHearsLessOften() {
        registerDesks();
        List.of("a", "b").forEach(peer -> gate.handle(new GatewayEvent.PeerConnected(peer)));
        gate.arrive(1, BOOK);
        assertThat(gate.told(Duration.ofMillis(1))).isPresent();
        gate.arrive(2, BOOK);
        assertThat(gate.told(Duration.ofMillis(199))).isEmpty();
        assertThat(gate.told(Duration.ofMillis(1))).isPresent();
    }

    @Test
    void whatAPeerTellsReplacesOnlyWhatItNames() {
        Peers peers = Peers.NONE
                .reported(
                        "peer",
                        new GatewayReport(true, Map.of(engine("one"), load(1), engine("two"), load(2)), Map.of()))
                .reported("other", new GatewayReport(true, Map.of(engine("one"), load(4)), Map.of()))
                .reported("peer", new GatewayReport(false, Map.of(engine("two"), load(3)), Map.of()));
        assertThat(peers.loads()).isEqualTo(Map.of(engine("one"), load(5), engine("two"), load(3)));
        Peers gone = peers.reported("peer", new GatewayReport(false, Map.of(engine("two"), PeerLoad.NONE), Map.of()));
        assertThat(gone.loads()).isEqualTo(Map.of(engine("one"), load(5)));
        assertThat(peers.reported("peer", new GatewayReport(true, Map.of(engine("two"), load(1)), Map.of()))
                        .loads())
                .isEqualTo(Map.of(engine("one"), load(4), engine("two"), load(1)));
        assertThat(peers.lost("peer").loads()).isEqualTo(Map.of(engine("one"), load(4)));
    }

    private static UpstreamIdentifier engine(String name) {
        return new UpstreamIdentifier(name);
    }

    private static PeerLoad load(int running) {
        return new PeerLoad(running, 100L * running);
    }

    @Test
    void aSessionLeavesItsEngineOnlyWhenThatIsFarBehindAndThenAlwaysForTheSameOne() {
        gate.register(
                Gate.upstream("one", Gate.MODEL), Gate.upstream("two", Gate.MODEL), Gate.upstream("three", Gate.MODEL));
        Prompt prompt = Gate.prompt("session", 3000, 3500);
        String home = Gate.sentTo(gate.arrive(1, TELL, prompt, "account")).orElseThrow();
        gate.end(1, 1, new AttemptResult.Delivered());
        gate.elsewhere("peer", home, 1, 5_000);
        assertThat(Gate.sentTo(gate.arrive(2, TELL, prompt, "account"))).contains(home);
        gate.end(2, 1, new AttemptResult.Delivered());
        gate.elsewhere("peer", home, 1, 20_000);
        String second = Gate.sentTo(gate.arrive(3, TELL, prompt, "account")).orElseThrow();
        assertThat(second).isNotEqualTo(home);
        gate.end(3, 1, new AttemptResult.Delivered());
        assertThat(Gate.sentTo(gate.arrive(4, TELL, prompt, "account"))).contains(second);
    }

    @Test
    void anOlderConfigurationIsNotTakenBack() {
        assertThat(gate.handle(new GatewayEvent.ConfigurationReceived(Gate.configuration(5))))
                .containsExactly(new GatewayAction.ReportConfigurationInForce(5));
        assertThat(gate.handle(new GatewayEvent.ConfigurationReceived(Gate.configuration(4))))
                .isEmpty();
        assertThat(gate.state().configuration().orElseThrow().version()).isEqualTo(5);
    }

    @Test
    void aNewLifeUnderAnOldIdentifierStartsAnew() {
        gate.register(Gate.cold(Gate.upstream("one", Gate.MODEL), Duration.ofSeconds(3)));
        gate.arrive(1, TELL, Gate.prompt("s", 10, 20), "account");
        Upstream reborn = Gate.upstream("one", Gate.MODEL);
        gate.register(new Upstream(
                reborn.identifier(),
                reborn.target(),
                reborn.host(),
                reborn.port(),
                reborn.domain(),
                reborn.version(),
                reborn.slots(),
                false,
                Duration.ZERO,
                reborn.startedAtMillis() + 1));
        assertThat(gate.state().upstreams().get(reborn.identifier()).running()).isZero();
        gate.end(1, 1, new AttemptResult.Lost());
        assertThat(gate.state().upstreams().get(reborn.identifier()).running()).isZero();
    }

    @Test
    void aStoppingGatewayEndsWhenNothingRuns() {
        registerDesks();
        gate.arrive(1, BOOK);
        gate.handle(new GatewayEvent.StopRequested());
        assertThat(gate.state().ready()).isFalse();
        assertThat(gate.pass(Gate.LIMITS.minDrainTime())).isEmpty();
        gate.end(1, 1, new AttemptResult.Delivered());
        assertThat(gate.pass(Duration.ofMillis(1))).containsExactly(new GatewayAction.Drained());
    }
}
