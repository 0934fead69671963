package org.sassafrastrail.application;

import java.time.Clock;
import java.time.Duration;
import java.util.List;

import org.sassafrastrail.gateway.GatewayDaemon;
import org.sassafrastrail.gateway.GatewaySettings;
import org.sassafrastrail.http.UndertowCaller;
import org.sassafrastrail.platform.PlatformHeaders;
import org.sassafrastrail.platform.StoreAddress;
import org.sassafrastrail.platform.StoreSurroundings;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.runtime.Services;
import org.sassafrastrail.runtime.SteadyClock;

/** A gateway on the users' platform. */
final class PlatformGateway implements Service {

    private static final Duration STORE_PATIENCE = Duration.ofMillis(800);

    private final Services services;

    PlatformGateway(GatewaySettings settings, Clock clock) {
        UndertowCaller store = new UndertowCaller(1);
        int colon = settings.store().lastIndexOf(':');
        StoreAddress address = new StoreAddress(
                settings.store().substring(0, colon),
                Integer.parseInt(settings.store().substring(colon + 1)),
                STORE_PATIENCE);
        this.services = new Services(List.of(
                store,
                new GatewayDaemon(
                        settings,
                        new PlatformHeaders(),
                        new StoreSurroundings(store, address, settings.node()),
                        new SteadyClock(clock))));
    }

    @Override
    public void start() {
        services.start();
    }

    @Override
    public void stop() {
        services.stop();
    }
}
