package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.model.FailureDomainName;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what gateways know of each other's failure domains. */
class DomainHandlerTest {

    private static final FailureDomainName NORTH = new FailureDomainName("north");
    private static final FailureDomainName SOUTH = new FailureDomainName("south");
    private static final Instant NOW = Instant.EPOCH;

    private final GatewayCore core = new GatewayCore(FairShareTest.LIMITS);
    private GatewayState state = GatewayState.start("own", Optional.of(NORTH), Duration.ofSeconds(4));

    private List<GatewayAction> handle(GatewayEvent event) {
        var transition = core.handle(state, event, NOW);
        state = transition.state();
        return transition.actions();
    }

    private long announcements() {
        return handle(new GatewayEvent.Ticked()).stream()
                .filter(new GatewayAction.AnnounceDomain(NORTH)::equals)
                .count();
    }

    /** Guards against a gateway that nobody reads the store for, because a peer that connected later knows no domain of it. */
    @Test
    void domainIsToldOnceForEachLinkThatOpens() {
        handle(new GatewayEvent.PeerConnected("first"));
        assertThat(announcements()).isEqualTo(1);
        assertThat(announcements()).isZero();
        handle(new GatewayEvent.PeerConnected("second"));
        assertThat(announcements()).isEqualTo(1);
    }

    @Test
    void onlyConnectedGatewaysOfTheOwnDomainCount() {
        List.of("first", "second", "third").forEach(peer -> handle(new GatewayEvent.PeerConnected(peer)));
        handle(new GatewayEvent.PeerDomainReceived("first", NORTH));
        handle(new GatewayEvent.PeerDomainReceived("second", NORTH));
        handle(new GatewayEvent.PeerDomainReceived("third", SOUTH));
        assertThat(state.tableWatchers().others()).containsExactlyInAnyOrder("first", "second");
        handle(new GatewayEvent.PeerDisconnected("first"));
        assertThat(state.tableWatchers().others()).containsExactly("second");
    }
}
