package org.sassafrastrail.router.core;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.messages.AttemptQuery;
import org.sassafrastrail.messages.AttemptReport;
import org.sassafrastrail.messages.GrantOffer;
import org.sassafrastrail.messages.GrantReturn;
import org.sassafrastrail.messages.Message;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.AttemptOutcome;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.GrantReturnReason;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.NotRunReason;
import org.sassafrastrail.model.RefusalReason;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.model.Revision;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.UpstreamProfile;
import org.sassafrastrail.model.VersionName;
import org.sassafrastrail.rollout.BaselineRegressionDetector;
import org.sassafrastrail.rules.KeyDigest;
import org.sassafrastrail.rules.RuleDocument;

import static org.assertj.core.api.Assertions.assertThat;

class RouterCoreTest {

    private static final NodeName SIDECAR = new NodeName("sidecar-1");
    private static final AccountName ACCOUNT = new AccountName("kitchen");
    private static final RequestIdentifier REQUEST = new RequestIdentifier("request-1");
    private static final AttemptIdentifier FIRST = new AttemptIdentifier(REQUEST, 1);
    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(10);
    private static final String RULES = "service desk version v1 cold 1 warm 4 repeat no # test\n"
            + "domain north in # test\naccount kitchen weight 1 queue 2 key "
            + KeyDigest.of("k").text() + " # test\n";

    private final RouterCore core = new RouterCore(RouterTimings.STANDARD, new BaselineRegressionDetector());
    private Instant now = Instant.parse("2026-12-04T10:00:00Z");
    private RouterState state = RouterState.start(new BudgetedRetryPolicy(attempt -> Duration.ZERO), now);
    private List<RouterAction> actions = List.of();
    private long grants;

    @BeforeEach
    void linkOneSidecar() {
        rules(1, RULES);
        post(new RouterEvent.SidecarConnected(
                SIDECAR,
                new Incarnation(1),
                new UpstreamProfile(new TargetName("desk"), new VersionName("v1"), new FailureDomainName("north"))));
    }

    private void post(RouterEvent event) {
        Transition<RouterState, RouterAction> transition = core.handle(state, event, now);
        state = transition.state();
        actions = transition.actions();
    }

    private void rules(long revision, String text) {
        post(new RouterEvent.RulesRead(new RuleDocument(new Revision(revision), text, "test", now)));
    }

    private void arrive(String identifier, boolean safe, Optional<String> key) {
        post(new RouterEvent.RequestArrived(
                new RequestIdentifier(identifier),
                KeyDigest.of("k"),
                new TargetName("desk"),
                "book",
                safe,
                key,
                0,
                MAXIMUM_WAIT));
    }

    private void grant() {
        receive(new GrantOffer(new GrantIdentifier(SIDECAR, new Incarnation(1), ++grants), ACCOUNT, 1000));
    }

    private void receive(Message message) {
        post(new RouterEvent.SidecarMessageReceived(SIDECAR, message));
    }

    private Optional<RouterAction.Dispatch> dispatch() {
        return actions.stream()
                .filter(RouterAction.Dispatch.class::isInstance)
                .map(RouterAction.Dispatch.class::cast)
                .findFirst();
    }

    private List<Message> sentMessages() {
        return actions.stream()
                .filter(RouterAction.SendMessage.class::isInstance)
                .map(action -> ((RouterAction.SendMessage) action).message())
                .toList();
    }

    @Test
    void grantIsUsedForOldestRequest() {
        arrive("request-1", false, Optional.empty());
        arrive("request-2", false, Optional.empty());
        grant();

        assertThat(dispatch().orElseThrow().request().identifier()).isEqualTo(REQUEST);
    }

    @Test
    void grantWithoutDemandIsReturnedImmediately() {
        grant();

        assertThat(sentMessages()).hasOnlyElementsOfType(GrantReturn.class);
        assertThat(((GrantReturn) sentMessages().get(0)).reason()).isEqualTo(GrantReturnReason.NO_DEMAND);
    }

    @Test
    void grantFromFailureDomainOutOfServiceIsReturned() {
        arrive("request-1", false, Optional.empty());
        rules(2, RULES.replace("domain north in", "domain north out"));
        grant();

        assertThat(dispatch()).isEmpty();
        assertThat(((GrantReturn) sentMessages().get(0)).reason()).isEqualTo(GrantReturnReason.FAILURE_DOMAIN_OUT);
    }

    @Test
    void sidecarOnLeavingVmGetsNoNewRequests() {
        arrive("request-1", false, Optional.empty());
        post(new RouterEvent.VmsLeaving(Set.of(SIDECAR)));
        grant();
        assertThat(((GrantReturn) sentMessages().get(0)).reason()).isEqualTo(GrantReturnReason.VM_LEAVING);

        post(new RouterEvent.VmsLeaving(Set.of()));
        grant();
        assertThat(dispatch()).isPresent();
    }

    @Test
    void grantsAreReturnedAfterPauseUntilConfigurationIsConfirmed() {
        arrive("request-1", false, Optional.empty());
        now = now.plusSeconds(5);
        post(new RouterEvent.Tick());
        assertThat(actions).contains(new RouterAction.ReadRules());
        grant();
        assertThat(dispatch()).isEmpty();

        post(new RouterEvent.RulesRead(RuleDocument.NONE));
        grant();
        assertThat(dispatch()).isPresent();
    }

    @Test
    void olderRuleFileIsIgnored() {
        rules(3, RULES);
        rules(2, "");

        assertThat(state.configuration().document().revision()).isEqualTo(new Revision(3));
        assertThat(state.rules().rules()).hasSize(3);
    }

    @Test
    void lostNonIdempotentAttemptIsRetriedOnlyIfReportedAsNotBegun() {
        arrive("request-1", false, Optional.empty());
        grant();
        post(new RouterEvent.AttemptConnectionLost(FIRST));
        assertThat(sentMessages()).hasAtLeastOneElementOfType(AttemptQuery.class);
        grant();
        assertThat(dispatch()).isEmpty();

        receive(new AttemptReport(FIRST, AttemptReport.State.NOT_BEGUN));
        now = now.plusSeconds(1);
        grant();
        assertThat(dispatch().orElseThrow().attempt()).isEqualTo(new AttemptIdentifier(REQUEST, 2));
    }

    @Test
    void lostNonIdempotentAttemptThatBeganHasUnknownOutcome() {
        arrive("request-1", false, Optional.empty());
        grant();
        post(new RouterEvent.AttemptConnectionLost(FIRST));
        receive(new AttemptReport(FIRST, AttemptReport.State.RUNNING));

        assertThat(actions).hasOnlyElementsOfType(RouterAction.RespondOutcomeUnknown.class);
    }

    @Test
    void lateOutcomeOfEarlierAttemptIsIgnored() {
        arrive("request-1", true, Optional.empty());
        grant();
        post(new RouterEvent.AttemptEnded(FIRST, new AttemptOutcome.NotRun(NotRunReason.GRANT_EXPIRED)));
        now = now.plusSeconds(1);
        grant();
        post(new RouterEvent.AttemptEnded(FIRST, new AttemptOutcome.Completed(200, 1, Duration.ZERO)));

        assertThat(actions).isEmpty();
        assertThat(state.running()).containsKey(REQUEST);
    }

    @Test
    void requestBeyondAccountQueueLimitIsRefused() {
        arrive("request-1", true, Optional.empty());
        arrive("request-2", true, Optional.empty());
        arrive("request-3", true, Optional.empty());

        assertThat(actions)
                .containsExactly(
                        new RouterAction.Refuse(new RequestIdentifier("request-3"), RefusalReason.ACCOUNT_QUEUE_FULL));
    }

    @Test
    void keyedRequestWaitsForClaimAndReleasesKeyWhenRefused() {
        arrive("request-1", false, Optional.of("key"));
        assertThat(actions).hasOnlyElementsOfType(RouterAction.ClaimIdempotencyKey.class);
        grant();
        assertThat(dispatch()).isEmpty();

        post(new RouterEvent.IdempotencyClaimCompleted(REQUEST, RouterEvent.IdempotencyClaimResult.OWNED));
        now = now.plus(MAXIMUM_WAIT);
        post(new RouterEvent.Tick());
        assertThat(actions).contains(new RouterAction.Refuse(REQUEST, RefusalReason.DEADLINE_EXCEEDED));
        assertThat(actions).hasAtLeastOneElementOfType(RouterAction.ReleaseIdempotencyKey.class);
    }

    /** Guards against a caller that waits forever because the claim of its idempotency key never completes. */
    @Test
    void requestWithPendingClaimIsRefusedAtDeadline() {
        arrive("request-1", false, Optional.of("key"));
        now = now.plus(MAXIMUM_WAIT);
        post(new RouterEvent.Tick());
        assertThat(actions)
                .contains(new RouterAction.Refuse(REQUEST, RefusalReason.IDEMPOTENCY_STORE_UNAVAILABLE))
                .hasAtLeastOneElementOfType(RouterAction.ReleaseIdempotencyKey.class);
        grant();
        post(new RouterEvent.IdempotencyClaimCompleted(REQUEST, RouterEvent.IdempotencyClaimResult.OWNED));
        assertThat(dispatch()).isEmpty();
    }

    @Test
    void idempotentRequestIsRetriedUpToMaximumAttempts() {
        arrive("request-1", true, Optional.empty());
        int attempts = 0;
        grant();
        while (dispatch().isPresent()) {
            attempts++;
            AttemptIdentifier attempt = dispatch().orElseThrow().attempt();
            post(new RouterEvent.AttemptEnded(attempt, new AttemptOutcome.UpstreamFailed(500)));
            if (actions.stream().anyMatch(RouterAction.RespondUpstreamFailed.class::isInstance)) {
                break;
            }
            now = now.plusSeconds(1);
            grant();
        }

        assertThat(attempts).isEqualTo(8);
        assertThat(actions).containsExactly(new RouterAction.RespondUpstreamFailed(REQUEST, 500));
    }

    @Test
    void stoppingRouterRefusesNewRequestsAndDrains() {
        arrive("request-1", true, Optional.empty());
        post(new RouterEvent.StopRequested());
        arrive("request-2", true, Optional.empty());
        assertThat(actions)
                .containsExactly(
                        new RouterAction.Refuse(new RequestIdentifier("request-2"), RefusalReason.ROUTER_STOPPING));
        post(new RouterEvent.Tick());
        assertThat(actions).doesNotContain(new RouterAction.Drained());

        grant();
        post(new RouterEvent.AttemptEnded(FIRST, new AttemptOutcome.Completed(200, 1, Duration.ZERO)));
        post(new RouterEvent.Tick());
        assertThat(actions).contains(new RouterAction.Drained());
    }
}
