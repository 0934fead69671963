package org.sassafrastrail.sidecar.core;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.fairness.LeastServicePolicy;
import org.sassafrastrail.fairness.MeanCostEstimator;
import org.sassafrastrail.messages.AccountDemand;
import org.sassafrastrail.messages.AttemptQuery;
import org.sassafrastrail.messages.AttemptReport;
import org.sassafrastrail.messages.Demand;
import org.sassafrastrail.messages.GrantOffer;
import org.sassafrastrail.messages.Message;
import org.sassafrastrail.messages.RulesAnnouncement;
import org.sassafrastrail.messages.RulesRequest;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.NotRunReason;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.model.Revision;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.UpstreamProfile;
import org.sassafrastrail.model.VersionName;
import org.sassafrastrail.rules.KeyDigest;
import org.sassafrastrail.rules.RuleDocument;

import static org.assertj.core.api.Assertions.assertThat;

class SidecarCoreTest {

    private static final NodeName ROUTER = new NodeName("router-1");
    private static final AccountName ACCOUNT = new AccountName("kitchen");
    private static final AttemptIdentifier ATTEMPT = new AttemptIdentifier(new RequestIdentifier("request-1"), 1);
    private static final String RULES = "service desk version v1 cold 1 warm 4 repeat no # test\n"
            + "domain north in # test\naccount kitchen weight 1 queue 10 key "
            + KeyDigest.of("k").text() + " # test\n";

    private final SidecarIdentity identity = new SidecarIdentity(
            new NodeName("sidecar-1"),
            new Incarnation(2),
            new UpstreamProfile(new TargetName("desk"), new VersionName("v1"), new FailureDomainName("north")));
    private final SidecarCore core = new SidecarCore(identity, new LeastServicePolicy(), SidecarTimings.STANDARD);
    private Instant now = Instant.parse("2026-12-04T10:00:00Z");
    private SidecarState state = SidecarState.start(new AdditiveIncreaseLimit(), new MeanCostEstimator(1), now);
    private List<SidecarAction> actions = List.of();

    @BeforeEach
    void connectRouterAndAnnounceRules() {
        post(new SidecarEvent.LoadReported(1, 0, false));
        post(new SidecarEvent.RouterConnected(ROUTER, 1));
        announceRules(1, RULES);
    }

    private void post(SidecarEvent event) {
        Transition<SidecarState, SidecarAction> transition = core.handle(state, event, now);
        state = transition.state();
        actions = transition.actions();
    }

    private void receive(Message message) {
        post(new SidecarEvent.RouterMessageReceived(ROUTER, message));
    }

    private void announceRules(long revision, String text) {
        receive(new RulesAnnouncement(new RuleDocument(new Revision(revision), text, "test", now)));
    }

    private GrantIdentifier requestGrant() {
        receive(new Demand(List.of(new AccountDemand(ACCOUNT, 3, 0, 0))));
        return offeredGrant().orElseThrow().grant();
    }

    private Optional<GrantOffer> offeredGrant() {
        return actions.stream()
                .filter(SidecarAction.SendMessage.class::isInstance)
                .map(action -> ((SidecarAction.SendMessage) action).message())
                .filter(GrantOffer.class::isInstance)
                .map(GrantOffer.class::cast)
                .findFirst();
    }

    private void dispatch(GrantIdentifier grant) {
        post(new SidecarEvent.DispatchArrived(ATTEMPT, grant, 0, "book"));
    }

    private void assertDeclined(NotRunReason reason) {
        assertThat(actions)
                .filteredOn(SidecarAction.DeclineAttempt.class::isInstance)
                .hasSize(1);
        assertThat(actions)
                .filteredOn(SidecarAction.DeclineAttempt.class::isInstance)
                .extracting(action -> ((SidecarAction.DeclineAttempt) action).reason())
                .containsExactly(reason);
    }

    private AttemptReport.State queryAttempt(GrantIdentifier grant) {
        receive(new AttemptQuery(ATTEMPT, grant));
        return actions.stream()
                .filter(SidecarAction.SendMessage.class::isInstance)
                .map(action -> ((SidecarAction.SendMessage) action).message())
                .filter(AttemptReport.class::isInstance)
                .map(message -> ((AttemptReport) message).state())
                .findFirst()
                .orElseThrow();
    }

    @Test
    void grantStartsOnlyOneAttempt() {
        GrantIdentifier grant = requestGrant();
        dispatch(grant);
        assertThat(actions).hasAtLeastOneElementOfType(SidecarAction.BeginAttempt.class);

        dispatch(grant);
        assertDeclined(NotRunReason.GRANT_UNKNOWN);
    }

    @Test
    void attemptQueryWithdrawsUnusedGrant() {
        GrantIdentifier grant = requestGrant();
        assertThat(queryAttempt(grant)).isEqualTo(AttemptReport.State.NOT_BEGUN);

        dispatch(grant);
        assertDeclined(NotRunReason.GRANT_UNKNOWN);
    }

    @Test
    void attemptQueryDistinguishesRunningFromEnded() {
        GrantIdentifier grant = requestGrant();
        dispatch(grant);
        assertThat(queryAttempt(grant)).isEqualTo(AttemptReport.State.RUNNING);

        post(new SidecarEvent.AttemptEnded(grant, new UpstreamOutcome.Completed(200, 1, Duration.ofMillis(5))));
        assertThat(queryAttempt(grant)).isEqualTo(AttemptReport.State.ENDED);
    }

    @Test
    void attemptOfEarlierIncarnationIsReportedAsForgotten() {
        GrantIdentifier earlier = new GrantIdentifier(identity.node(), new Incarnation(1), 1);

        assertThat(queryAttempt(earlier)).isEqualTo(AttemptReport.State.FORGOTTEN);
    }

    @Test
    void dispatchWithExpiredGrantIsDeclined() {
        GrantIdentifier grant = requestGrant();
        now = now.plus(SidecarTimings.STANDARD.grantValidity());
        dispatch(grant);

        assertDeclined(NotRunReason.GRANT_EXPIRED);
    }

    @Test
    void failureDomainOutOfServiceRevokesGrants() {
        GrantIdentifier grant = requestGrant();
        announceRules(2, RULES.replace("domain north in", "domain north out"));
        dispatch(grant);

        assertDeclined(NotRunReason.FAILURE_DOMAIN_OUT);
        receive(new Demand(List.of(new AccountDemand(ACCOUNT, 5, 0, 0))));
        assertThat(offeredGrant()).isEmpty();
    }

    @Test
    void pausedSidecarConfirmsConfigurationBeforeGranting() {
        now = now.plusSeconds(5);
        post(new SidecarEvent.Tick());
        receive(new Demand(List.of(new AccountDemand(ACCOUNT, 3, 0, 0))));
        assertThat(offeredGrant()).isEmpty();

        announceRules(1, RULES);
        assertThat(offeredGrant()).isPresent();
    }

    @Test
    void sidecarPausedWithoutLinksRequestsRulesFromNextRouter() {
        post(new SidecarEvent.RouterDisconnected(ROUTER, 1));
        now = now.plusSeconds(5);
        post(new SidecarEvent.Tick());
        post(new SidecarEvent.RouterConnected(ROUTER, 2));

        assertThat(actions).contains(new SidecarAction.SendMessage(ROUTER, new RulesRequest(new Revision(1))));
    }

    @Test
    void stoppingSidecarOffersNoGrants() {
        post(new SidecarEvent.StopRequested());
        receive(new Demand(List.of(new AccountDemand(ACCOUNT, 3, 0, 0))));

        assertThat(offeredGrant()).isEmpty();
    }

    @Test
    void grantsDoNotExceedConcurrencyLimit() {
        requestGrant();
        receive(new Demand(List.of(new AccountDemand(ACCOUNT, 3, 0, 0))));

        assertThat(offeredGrant()).isEmpty();
    }

    @Test
    void unreachableUpstreamReceivesNoGrants() {
        post(new SidecarEvent.LoadUnavailable());
        post(new SidecarEvent.LoadUnavailable());
        receive(new Demand(List.of(new AccountDemand(ACCOUNT, 3, 0, 0))));

        assertThat(offeredGrant()).isEmpty();
    }
}
