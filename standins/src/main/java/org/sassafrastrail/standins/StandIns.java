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

/** All stand-ins of one process. */
public final class StandIns implements Service {

    private final CompositeService services;

    /**
     * Puts the stand-ins together.
     *
     * @param settings which stand-ins, and where
     * @param clock tells the time
     */
    public StandIns(StandInSettings settings, Clock clock) {
        Stream<HttpServerService> platforms = settings.platforms().stream()
                .map(platform -> server(settings, platform.port(), fault -> new PlatformStandIn(fault, platform)));
        Stream<HttpServerService> engines = settings.engines().stream()
                .map(engine -> server(settings, engine.port(), fault -> new EngineStandIn(engine, fault, clock)));
        Stream<HttpServerService> plain = settings.services().stream()
                .map(service -> server(settings, service.port(), fault -> new ServiceStandIn(service, fault)));
        List<HttpServerService> all = Stream.of(platforms, engines, plain)
                .flatMap(Function.identity())
                .toList();
        this.services = new CompositeService(all);
    }

    private static HttpServerService server(
            StandInSettings settings, int port, Function<AtomicReference<Misbehaviour>, HttpHandler> standIn) {
        AtomicReference<Misbehaviour> misbehaviour = new AtomicReference<>(Misbehaviour.NONE);
        return new HttpServerService(
                settings.host(), port, new MisbehavingHandler(misbehaviour, standIn.apply(misbehaviour)));
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
