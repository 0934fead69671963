package org.sassafrastrail.standins;

import java.time.Clock;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.stream.Stream;

import io.undertow.server.HttpHandler;
import org.sassafrastrail.http.HttpServerService;
import org.sassafrastrail.runtime.CompositeService;
import org.sassafrastrail.runtime.Service;

/** Creates the stand-ins of one process from the settings, and starts and stops their HTTP servers. */
public final class StandIns implements Service {

    private final CompositeService services;

    /**
     * Creates the stand-ins without starting them.
     *
     * @param settings the stand-ins and their addresses
     * @param clock the clock for the delay of load reports
     */
    public StandIns(StandInSettings settings, Clock clock) {
        Stream<HttpServerService> platforms = settings.platforms().stream()
                .map(platform -> server(settings, platform.port(), faults -> new PlatformStandIn(faults, platform)));
        Stream<HttpServerService> engines = settings.engines().stream()
                .map(engine -> server(settings, engine.port(), faults -> new EngineStandIn(engine, faults, clock)));
        Stream<HttpServerService> services = settings.services().stream()
                .map(service -> server(settings, service.port(), faults -> new ServiceStandIn(service, faults)));
        List<HttpServerService> servers = Stream.of(platforms, engines, services)
                .flatMap(Function.identity())
                .toList();
        this.services = new CompositeService(servers);
    }

    private static HttpServerService server(
            StandInSettings settings, int port, Function<AtomicReference<InjectedFaults>, HttpHandler> standInFactory) {
        AtomicReference<InjectedFaults> faults = new AtomicReference<>(InjectedFaults.NONE);
        return new HttpServerService(
                settings.host(), port, new FaultInjectionHandler(faults, standInFactory.apply(faults)));
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
