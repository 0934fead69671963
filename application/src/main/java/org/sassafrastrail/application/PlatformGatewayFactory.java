package org.sassafrastrail.application;

import java.time.Clock;
import java.time.Duration;
import java.util.List;

import org.sassafrastrail.gateway.GatewayDaemon;
import org.sassafrastrail.gateway.GatewaySettings;
import org.sassafrastrail.http.UndertowHttpClient;
import org.sassafrastrail.platform.PlatformClusterStateWatcher;
import org.sassafrastrail.platform.PlatformDuties;
import org.sassafrastrail.platform.PlatformHeaders;
import org.sassafrastrail.platform.StoreEndpoint;
import org.sassafrastrail.runtime.CompositeService;
import org.sassafrastrail.runtime.HostAndPort;
import org.sassafrastrail.runtime.MonotonicClock;
import org.sassafrastrail.runtime.Service;

/** Creates gateways that run on the users' platform. */
final class PlatformGatewayFactory {

    private static final Duration STORE_TIMEOUT = Duration.ofMillis(800);

    private PlatformGatewayFactory() {}

    static Service create(GatewaySettings settings, Clock clock) {
        UndertowHttpClient store = new UndertowHttpClient(1);
        HostAndPort address = HostAndPort.parse(settings.store());
        StoreEndpoint endpoint = new StoreEndpoint(address.host(), address.port(), STORE_TIMEOUT);
        Clock monotonic = new MonotonicClock(clock);
        return new CompositeService(List.of(
                store,
                new GatewayDaemon(
                        settings,
                        new PlatformHeaders(),
                        new PlatformClusterStateWatcher(store, endpoint, settings.node(), monotonic),
                        settings.configuredDuties().flatMap(duties -> PlatformDuties.create(store, endpoint, duties)),
                        monotonic,
                        clock)));
    }
}
