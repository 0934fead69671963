package org.sassafrastrail.acceptance;

import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.fleet.RuleTexts;
import org.sassafrastrail.acceptance.fleet.VirtualFleet;
import org.sassafrastrail.acceptance.fleet.VirtualRouter;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that another front end can drive the same cores: a router core and a sidecar core connected in memory. */
class CoresInMemoryTest {

    @Test
    void requestIsServedEndToEnd() {
        VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
        VirtualRouter router = fleet.addRouter();
        fleet.addSidecar("v1", "north");
        fleet.publishRules(RuleTexts.idempotentModel(1, 4, Map.of("guest", 1)));
        fleet.time().runFor(Duration.ofSeconds(1));

        fleet.submit(router, "guest", 10, 20);
        fleet.time().runFor(Duration.ofSeconds(1));

        assertThat(fleet.outcomes().values()).containsExactly("finished");
        assertThat(fleet.servedTokens("guest")).isEqualTo(20);
    }

    @Test
    void unservedRequestIsRefusedAtDeadline() {
        VirtualFleet fleet = new VirtualFleet(Duration.ofMillis(5));
        VirtualRouter router = fleet.addRouter();
        fleet.publishRules(RuleTexts.idempotentModel(1, 4, Map.of("guest", 1)));
        fleet.time().runFor(Duration.ofSeconds(1));

        fleet.submit(router, "guest", 10, 20, true, Duration.ofSeconds(2));
        fleet.time().runFor(Duration.ofSeconds(3));

        assertThat(fleet.outcomes().values()).containsExactly("refused DEADLINE_EXCEEDED");
    }
}
