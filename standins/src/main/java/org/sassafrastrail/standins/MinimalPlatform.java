package org.sassafrastrail.standins;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import org.sassafrastrail.http.HttpServerService;
import org.sassafrastrail.runtime.Service;

/** The smallest platform: a store with a configuration of two routes, and one upstream, all on the loopback address. */
public final class MinimalPlatform implements Service {

    private static final String HOST = "127.0.0.1";
    private static final String UPSTREAM = "i-rehearsal";
    private static final String KEY = "rehearsal-key";

    private final PlatformStandIn store;
    private final HttpServerService server;
    private UpstreamStandIn upstream;

    /**
     * Puts the platform together.
     *
     * @param storePort where the store listens
     */
    public MinimalPlatform(int storePort) {
        AtomicReference<Misbehaviour> misbehaviour = new AtomicReference<>(Misbehaviour.NONE);
        this.store = new PlatformStandIn(misbehaviour, new StandInSettings.PlatformSettings(storePort, 1, List.of()));
        this.server = new HttpServerService(HOST, storePort, new MisbehavingHandler(misbehaviour, store));
    }

    @Override
    public void start() {
        upstream = new UpstreamStandIn(UPSTREAM);
        store.put(
                "op",
                "config",
                """
                {"version":1,"routes":[%s,%s],"services":[{"name":"rehearsal","maxConns":100}],
                 "limits":{"maxBodyBytes":100000,"idleTimeoutMs":5000},
                 "tenants":[{"name":"rehearsal","apiKeys":["%s"]}]}"""
                        .formatted(route("plain", "idempotent", false), route("stream", "streaming", true), KEY));
        store.put(
                "servers",
                UPSTREAM,
                """
                {"service":"rehearsal","address":"%s:%d","zone":"here","version":"v1","slots":64,"state":"ready",
                 "coldLeftMs":0,"seq":1}"""
                        .formatted(HOST, upstream.port()));
        server.start();
    }

    private static String route(String name, String kind, boolean resumable) {
        return """
                {"name":"%s","host":"%s","prefix":"/%s/","kind":"%s","timeoutMs":5000,"sloMs":200,"service":"rehearsal",
                 "maxAttempts":2,"anonymous":false,"resumable":%b}"""
                .formatted(name, HOST, name, kind, resumable);
    }

    /**
     * Returns paths that a gateway on this platform answers in all the usual ways.
     *
     * @return the paths
     */
    public List<String> samplePaths() {
        return List.of("/plain/fine", "/stream/events", "/plain/error", "/stream/cut", "/plain/full", "/none/fine");
    }

    /**
     * Returns the headers of a caller's request.
     *
     * @param request the caller's identifier of the request
     * @return the headers, by name
     */
    public Map<String, String> requestHeaders(String request) {
        return Map.of("X-Request-Id", request, "X-Request-Deadline", "5000", "Api-Key", KEY);
    }

    @Override
    public void stop() {
        server.stop();
        upstream.close();
    }
}
