package org.sassafrastrail.application;

import java.time.Clock;
import java.time.Duration;
import java.util.List;

import org.sassafrastrail.gateway.GatewayDaemon;
import org.sassafrastrail.gateway.GatewaySettings;
import org.sassafrastrail.http.UndertowHttpClient;
import org.sassafrastrail.platform.PlatformClusterStateWatcher;
import org.sassafrastrail.platform.PlatformHeaders;
import org.sassafrastrail.platform.StoreEndpoint;
import org.sassafrastrail.runtime.HostAndPort;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.runtime.Services;
import org.sassafrastrail.runtime.SteadyClock;

/** Puts together a gateway on the users' platform. */
final class PlatformGateway {

    private static final Duration STORE_PATIENCE = Duration.ofMillis(800);

    private PlatformGateway() {}

    static Service of(GatewaySettings settings, Clock clock) {
        UndertowHttpClient store = new UndertowHttpClient(1);
        HostAndPort place = HostAndPort.parse(settings.store());
        StoreEndpoint address = new StoreEndpoint(place.host(), place.port(), STORE_PATIENCE);
        return new Services(List.of(
                store,
                new GatewayDaemon(
                        settings,
                        new PlatformHeaders(),
                        new PlatformClusterStateWatcher(store, address, settings.node()),
                        new SteadyClock(clock))));
    }
}
