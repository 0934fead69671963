package org.sassafrastrail.benchmarks;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.sassafrastrail.fairness.LeastServicePolicy;
import org.sassafrastrail.fairness.LedgerEntry;
import org.sassafrastrail.fairness.LedgerKey;
import org.sassafrastrail.fairness.LedgerWriter;
import org.sassafrastrail.fairness.MeanCostEstimator;
import org.sassafrastrail.messages.AccountDemand;
import org.sassafrastrail.messages.Demand;
import org.sassafrastrail.messages.RulesAnnouncement;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.model.Revision;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.UpstreamProfile;
import org.sassafrastrail.model.VersionName;
import org.sassafrastrail.rollout.BaselineRegressionDetector;
import org.sassafrastrail.router.core.BudgetedRetryPolicy;
import org.sassafrastrail.router.core.RouterCore;
import org.sassafrastrail.router.core.RouterEvent;
import org.sassafrastrail.router.core.RouterState;
import org.sassafrastrail.router.core.RouterTimings;
import org.sassafrastrail.rules.KeyDigest;
import org.sassafrastrail.rules.RuleDocument;
import org.sassafrastrail.sidecar.core.AdditiveIncreaseLimit;
import org.sassafrastrail.sidecar.core.SidecarCore;
import org.sassafrastrail.sidecar.core.SidecarEvent;
import org.sassafrastrail.sidecar.core.SidecarIdentity;
import org.sassafrastrail.sidecar.core.SidecarState;
import org.sassafrastrail.sidecar.core.SidecarTimings;

/** Creates router and sidecar states of a given size by passing events to the cores, and messages of a given size. */
final class Fixtures {

    static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");
    static final TargetName TARGET = new TargetName("storyteller");

    private static final Duration MAX_WAIT = Duration.ofHours(1);
    private static final String FAILURE_DOMAIN = "north";

    private Fixtures() {}

    static String account(int number) {
        return "client-account-" + number;
    }

    static RuleDocument rules(int accounts) {
        String text = IntStream.range(0, accounts)
                .mapToObj(number -> "account " + account(number) + " weight 1 queue 1000 key "
                        + KeyDigest.of(account(number)).text() + " # benchmark")
                .collect(Collectors.joining(
                        "\n",
                        "model " + TARGET + " version v1 cold 1 warm 8 # benchmark\ndomain " + FAILURE_DOMAIN
                                + " in # benchmark\n",
                        "\n"));
        return new RuleDocument(new Revision(1), text, "benchmark", NOW);
    }

    static UpstreamProfile profile() {
        return new UpstreamProfile(TARGET, new VersionName("v1"), new FailureDomainName(FAILURE_DOMAIN));
    }

    static RouterCore router() {
        return new RouterCore(RouterTimings.STANDARD, new BaselineRegressionDetector());
    }

    /** Creates the state of a router with linked sidecars and queued requests of each backlogged account. */
    static RouterState routerState(RouterCore core, int sidecars, int accounts, int backlogged, int queuedPerAccount) {
        RouterState state = RouterState.start(new BudgetedRetryPolicy(attempt -> Duration.ZERO), NOW);
        state = core.handle(state, new RouterEvent.RulesRead(rules(accounts)), NOW)
                .state();
        for (int sidecar = 0; sidecar < sidecars; sidecar++) {
            RouterEvent linked =
                    new RouterEvent.SidecarConnected(new NodeName("sidecar-" + sidecar), new Incarnation(1), profile());
            state = core.handle(state, linked, NOW).state();
        }
        for (int request = 0; request < backlogged * queuedPerAccount; request++) {
            state = core.handle(state, arrival(request, request % backlogged), NOW)
                    .state();
        }
        return state;
    }

    static RouterEvent arrival(int number, int account) {
        return new RouterEvent.RequestArrived(
                new RequestIdentifier("request-" + number),
                KeyDigest.of(account(account)),
                TARGET,
                "tell",
                true,
                Optional.empty(),
                100,
                MAX_WAIT);
    }

    static SidecarCore sidecar() {
        return new SidecarCore(
                new SidecarIdentity(new NodeName("sidecar-1"), new Incarnation(1), profile()),
                new LeastServicePolicy(),
                SidecarTimings.STANDARD);
    }

    /** Creates the state of a sidecar with a free slot and linked routers that all report the backlogged accounts. */
    static SidecarState sidecarState(SidecarCore core, int routers, int accounts, int backlogged) {
        SidecarState state = SidecarState.start(new AdditiveIncreaseLimit(), new MeanCostEstimator(100), NOW);
        state = core.handle(state, new SidecarEvent.LoadReported(1, 0, false), NOW)
                .state();
        for (int router = 0; router < routers; router++) {
            NodeName node = new NodeName("router-" + router);
            state = core.handle(state, new SidecarEvent.RouterConnected(node, 1), NOW)
                    .state();
            state = core.handle(state, new SidecarEvent.RouterMessageReceived(node, demand(backlogged)), NOW)
                    .state();
        }
        SidecarEvent announced = new SidecarEvent.RouterMessageReceived(
                new NodeName("router-0"), new RulesAnnouncement(rules(accounts)));
        return core.handle(state, announced, NOW).state();
    }

    static Demand demand(int backlogged) {
        return new Demand(IntStream.range(0, backlogged)
                .mapToObj(number -> new AccountDemand(new AccountName(account(number)), 3, 100, 50))
                .toList());
    }

    static List<LedgerEntry> entries(int sidecars, int accounts) {
        return IntStream.range(0, sidecars)
                .boxed()
                .flatMap(sidecar -> IntStream.range(0, accounts)
                        .mapToObj(account -> new LedgerEntry(
                                new LedgerWriter(new NodeName("sidecar-" + sidecar), new Incarnation(1)),
                                new LedgerKey(TARGET, new AccountName(account(account))),
                                100_000L * account + sidecar,
                                0,
                                7)))
                .toList();
    }
}
