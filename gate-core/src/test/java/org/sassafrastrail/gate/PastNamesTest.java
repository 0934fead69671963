package org.sassafrastrail.gate;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.model.TargetName;

import static org.assertj.core.api.Assertions.assertThat;

/** The state stays level while accounts, targets, upstreams and gateways come and go with new configurations. */
class PastNamesTest {

    private static final int VERSIONS = 60;
    private static final int LEVEL = 5;
    private static final Duration BETWEEN_VERSIONS = Duration.ofSeconds(60);

    private final GatewayDriver gateway = new GatewayDriver();

    @BeforeEach
    void comeAndGo() {
        for (int version = 2; version < VERSIONS; version++) {
            TargetName target = new TargetName("service-" + version);
            String upstream = "upstream-" + version;
            String peer = "peer-" + version;
            gateway.handle(new GatewayEvent.ConfigurationReceived(GatewayDriver.configuration(version)));
            gateway.handle(new GatewayEvent.PeerConnected(peer));
            gateway.register(GatewayDriver.upstream(upstream, target));
            gateway.arrive(
                    version,
                    GatewayDriver.route("route-" + version, target, true, false, 1),
                    GatewayDriver.prompt("session", 10, 10),
                    "account-" + version);
            gateway.endAttempt(version, 1, new AttemptResult.Delivered());
            gateway.peerLoad(peer, upstream, 1, 10);
            gateway.handle(new GatewayEvent.PeerDisconnected(peer));
            gateway.unregister(upstream);
            gateway.advance(BETWEEN_VERSIONS);
        }
    }

    @Test
    void accountsStayLevel() {
        assertThat(gateway.state().shares().local().accounts()).hasSizeLessThan(LEVEL);
        assertThat(gateway.state().shares().remote().accounts()).hasSizeLessThan(LEVEL);
        assertThat(gateway.state().shares().reports()).hasSizeLessThan(LEVEL);
    }

    @Test
    void retryBudgetsStayLevel() {
        assertThat(gateway.state().retryBudgets()).hasSizeLessThan(LEVEL);
    }

    @Test
    void callsUpstreamsAndPeersStayLevel() {
        GatewayState state = gateway.state();
        assertThat(List.of(
                        state.calls().size(),
                        state.upstreams().size(),
                        state.peers().reports().size(),
                        state.peers().loads().size(),
                        state.pauses().ends().size(),
                        state.drainNotices().heardAt().size()))
                .allMatch(size -> size < LEVEL);
    }

    /** Entries of upstreams that left are kept for ten minutes. */
    @Test
    void entryHistoryStaysLevel() {
        assertThat(gateway.state().entryHistory().newestEntries())
                .hasSizeLessThan((int) EntryHistory.RETENTION.dividedBy(BETWEEN_VERSIONS) + LEVEL);
    }
}
