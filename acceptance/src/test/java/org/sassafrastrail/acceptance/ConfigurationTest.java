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

/** An accepted configuration is in force everywhere within seconds and never reverts. */
class ConfigurationTest {

    private static final Duration IN_FORCE = Duration.ofSeconds(7);
    private static final String RULES = RuleTexts.model(1, 4, Map.of("guest", 1));

    private final VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));

    @BeforeEach
    void startFleet() {
        IntStream.range(0, 3).forEach(number -> fleet.addRouter());
        List.of("north", "south", "west").forEach(domain -> fleet.addSidecar("v1", domain));
        fleet.accept(RULES);
        fleet.time().runFor(IN_FORCE);
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
    void oneRouterThatHearsOfItIsEnoughForAll() {
        RuleDocument next = new RuleDocument(
                fleet.revision().next(), RULES, "test", fleet.time().now());
        fleet.routers().get(0).post(new RouterEvent.RulesRead(next));
        fleet.time().runFor(IN_FORCE);

        assertThat(revisions()).containsOnly(next.revision());
    }

    @Test
    void aChangeTravelsToEachNodeOnce() {
        int[] copies = new int[1];
        fleet.lose(message -> {
            copies[0] += message instanceof RulesAnnouncement ? 1 : 0;
            return false;
        });
        RuleDocument next = new RuleDocument(
                fleet.revision().next(), RULES, "test", fleet.time().now());
        fleet.routers().get(0).post(new RouterEvent.RulesRead(next));
        fleet.time().runFor(IN_FORCE);

        assertThat(revisions()).containsOnly(next.revision());
        assertThat(copies[0])
                .isEqualTo(fleet.routers().size() - 1 + fleet.sidecars().size());
    }

    @Test
    void aRouterWithEmptyMemoryLearnsFromItsPeersWhileThePlatformIsDown() {
        fleet.platformDown(true);
        VirtualRouter router = fleet.routers().get(1);
        router.restart();
        assertThat(router.state().configuration().isPresent()).isFalse();
        fleet.time().runFor(IN_FORCE);

        assertThat(router.state().configuration().document().revision()).isEqualTo(fleet.revision());
        fleet.submit(router, "guest", 10, 10);
        fleet.time().runFor(IN_FORCE);
        assertThat(fleet.endings().values()).containsOnly("finished");
    }

    @Test
    void aSidecarWithEmptyMemoryLearnsFromARouter() {
        VirtualSidecar sidecar = fleet.sidecars().get(0);
        sidecar.restart();
        fleet.time().runFor(IN_FORCE);

        assertThat(sidecar.state().configuration().document().revision()).isEqualTo(fleet.revision());
    }

    @Test
    void anOldRuleFileNeverComesBack() {
        RuleDocument old =
                new RuleDocument(fleet.revision(), "", "test", fleet.time().now());
        fleet.accept(RULES.replace("domain west in", "domain west out"));
        fleet.time().runFor(IN_FORCE);
        fleet.routers().forEach(router -> router.post(new RouterEvent.RulesRead(old)));
        assertThat(revisions()).containsOnly(fleet.revision());
        fleet.time().runFor(IN_FORCE);

        assertThat(revisions()).containsOnly(fleet.revision());
    }

    @Test
    void aCutOffSidecarCatchesUpWhenItIsLinkedAgain() {
        VirtualSidecar sidecar = fleet.sidecars().get(2);
        fleet.routers().forEach(router -> fleet.cut(router, sidecar));
        fleet.accept(RULES.replace("domain north in", "domain north out"));
        fleet.time().runFor(IN_FORCE);
        assertThat(sidecar.state().configuration().document().revision()).isNotEqualTo(fleet.revision());

        fleet.heal(fleet.routers().get(0), sidecar);
        fleet.time().runFor(IN_FORCE);
        assertThat(revisions()).containsOnly(fleet.revision());
    }
}
