package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.fleet.RuleTexts;
import org.sassafrastrail.acceptance.fleet.VirtualFleet;
import org.sassafrastrail.acceptance.fleet.VirtualRouter;
import org.sassafrastrail.acceptance.fleet.VirtualSidecar;
import org.sassafrastrail.messages.RulesAnnouncement;
import org.sassafrastrail.model.Revision;
import org.sassafrastrail.router.core.RouterEvent;
import org.sassafrastrail.rules.RuleDocument;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that accepted rules are in force on all nodes within seconds and never revert. */
class ConfigurationTest {

    private static final Duration PROPAGATION_TIME = Duration.ofSeconds(7);
    private static final String RULES = RuleTexts.idempotentModel(1, 4, Map.of("guest", 1));

    private final VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));

    @BeforeEach
    void startFleet() {
        IntStream.range(0, 3).forEach(number -> fleet.addRouter());
        List.of("north", "south", "west").forEach(domain -> fleet.addSidecar("v1", domain));
        fleet.publishRules(RULES);
        fleet.time().runFor(PROPAGATION_TIME);
    }

    private Stream<Revision> revisions() {
        return Stream.concat(
                fleet.routers().stream()
                        .map(router -> router.state().configuration().document().revision()),
                fleet.sidecars().stream()
                        .map(sidecar ->
                                sidecar.state().configuration().document().revision()));
    }

    @Test
    void rulesSpreadFromOneRouterToAllNodes() {
        RuleDocument next = new RuleDocument(
                fleet.currentRevision().next(), RULES, "test", fleet.time().now());
        fleet.routers().get(0).post(new RouterEvent.RulesRead(next));
        fleet.time().runFor(PROPAGATION_TIME);

        assertThat(revisions()).containsOnly(next.revision());
    }

    @Test
    void newRulesAreAnnouncedToEachNodeOnce() {
        int[] announcements = new int[1];
        fleet.dropMessages(message -> {
            announcements[0] += message instanceof RulesAnnouncement ? 1 : 0;
            return false;
        });
        RuleDocument next = new RuleDocument(
                fleet.currentRevision().next(), RULES, "test", fleet.time().now());
        fleet.routers().get(0).post(new RouterEvent.RulesRead(next));
        fleet.time().runFor(PROPAGATION_TIME);

        assertThat(revisions()).containsOnly(next.revision());
        assertThat(announcements[0])
                .isEqualTo(fleet.routers().size() - 1 + fleet.sidecars().size());
    }

    @Test
    void restartedRouterReceivesRulesDuringPlatformOutage() {
        fleet.setPlatformDown(true);
        VirtualRouter router = fleet.routers().get(1);
        router.restart();
        assertThat(router.state().configuration().isPresent()).isFalse();
        fleet.time().runFor(PROPAGATION_TIME);

        assertThat(router.state().configuration().document().revision()).isEqualTo(fleet.currentRevision());
        fleet.submit(router, "guest", 10, 10);
        fleet.time().runFor(PROPAGATION_TIME);
        assertThat(fleet.outcomes().values()).containsOnly("finished");
    }

    @Test
    void restartedSidecarReceivesRulesFromRouter() {
        VirtualSidecar sidecar = fleet.sidecars().get(0);
        sidecar.restart();
        fleet.time().runFor(PROPAGATION_TIME);

        assertThat(sidecar.state().configuration().document().revision()).isEqualTo(fleet.currentRevision());
    }

    @Test
    void olderRevisionIsIgnored() {
        RuleDocument old = new RuleDocument(
                fleet.currentRevision(), "", "test", fleet.time().now());
        fleet.publishRules(RULES.replace("domain west in", "domain west out"));
        fleet.time().runFor(PROPAGATION_TIME);
        fleet.routers().forEach(router -> router.post(new RouterEvent.RulesRead(old)));
        assertThat(revisions()).containsOnly(fleet.currentRevision());
        fleet.time().runFor(PROPAGATION_TIME);

        assertThat(revisions()).containsOnly(fleet.currentRevision());
    }

    @Test
    void disconnectedSidecarCatchesUpAfterReconnect() {
        VirtualSidecar sidecar = fleet.sidecars().get(2);
        fleet.routers().forEach(router -> fleet.cutLink(router, sidecar));
        fleet.publishRules(RULES.replace("domain north in", "domain north out"));
        fleet.time().runFor(PROPAGATION_TIME);
        assertThat(sidecar.state().configuration().document().revision()).isNotEqualTo(fleet.currentRevision());

        fleet.restoreLink(fleet.routers().get(0), sidecar);
        fleet.time().runFor(PROPAGATION_TIME);
        assertThat(revisions()).containsOnly(fleet.currentRevision());
    }
}
