package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that the load which upstreams report corrects what the gateways know of. */
class UnknownLoadTest {

    private static final Instant NOW = Instant.EPOCH;
    private static final Route ROUTE = GatewayDriver.route("plain", GatewayDriver.SERVICE, true, false, 2);

    @Test
    void requestsOfOtherCallersAreSeenWithinOneResponse() {
        GatewayDriver gateway = new GatewayDriver();
        gateway.register(GatewayDriver.upstream("one", GatewayDriver.SERVICE));
        gateway.arrive(1, ROUTE);
        gateway.handle(new GatewayEvent.ResponseStarted(1, 1, true, Optional.of(new ReportedLoad(8, 3, 8))));
        gateway.register(GatewayDriver.upstream("two", GatewayDriver.SERVICE));
        gateway.arrive(2, ROUTE);
        assertThat(GatewayDriver.dispatchedTo(gateway.arrive(3, ROUTE))).contains("two");
    }

    @Test
    void knownRequestsAreNotCountedTwice() {
        assertThat(UnknownLoad.of(new ReportedLoad(4, 1, 8), 5, NOW).requestsAt(NOW))
                .isZero();
        assertThat(UnknownLoad.of(new ReportedLoad(4, 3, 8), 5, NOW).requestsAt(NOW))
                .isEqualTo(2);
    }

    @Test
    void oldReportFades() {
        UnknownLoad load = UnknownLoad.of(new ReportedLoad(10, 0, 8), 0, NOW);
        assertThat(load.requestsAt(NOW.plusMillis(500))).isEqualTo(5);
        assertThat(load.requestsAt(NOW.plusMillis(1000))).isZero();
    }
}
