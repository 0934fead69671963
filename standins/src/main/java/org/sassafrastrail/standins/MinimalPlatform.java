package org.sassafrastrail.standins;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import org.sassafrastrail.http.HttpServerService;
import org.sassafrastrail.runtime.Service;

/**
 * A minimal platform on the loopback address: a store with a configuration of two routes, and one upstream. Used to
 * exercise a gateway without an outside system.
 */
public final class MinimalPlatform implements Service {

    private static final String HOST = "127.0.0.1";
    private static final String UPSTREAM = "i-rehearsal";
    private static final String API_KEY = "rehearsal-key";

    private final PlatformStandIn platform;
    private final HttpServerService server;
    private UpstreamStandIn upstream;

    /**
     * Creates the platform without starting it.
     *
     * @param storePort the port of the store
     */
    public MinimalPlatform(int storePort) {
        AtomicReference<InjectedFaults> faults = new AtomicReference<>(InjectedFaults.NONE);
        this.platform = new PlatformStandIn(faults, new StandInSettings.PlatformSettings(storePort, 1, List.of()));
        this.server = new HttpServerService(HOST, storePort, new FaultInjectionHandler(faults, platform));
    }

    @Override
    public void start() {
        upstream = new UpstreamStandIn(UPSTREAM);
        platform.putRow(
                "op",
                "config",
                """
                {"version":1,"routes":[%s,%s],"services":[{"name":"rehearsal","maxConns":100}],
                 "limits":{"maxBodyBytes":100000,"idleTimeoutMs":5000},
                 "tenants":[{"name":"rehearsal","apiKeys":["%s"]}]}"""
                        .formatted(route("plain", "idempotent", false), route("stream", "streaming", true), API_KEY));
        platform.putRow(
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
     * Returns request paths that lead a gateway to its common kinds of response: success, event stream, upstream error,
     * truncated and resumed stream, declined request and unknown route.
     *
     * @return the paths
     */
    public List<String> samplePaths() {
        return List.of("/plain/fine", "/stream/events", "/plain/error", "/stream/cut", "/plain/full", "/none/fine");
    }

    /**
     * Returns the headers that a caller sends with a request.
     *
     * @param requestIdentifier the identifier that the caller gives the request
     * @return the headers by name
     */
    public Map<String, String> requestHeaders(String requestIdentifier) {
        return Map.of("X-Request-Id", requestIdentifier, "X-Request-Deadline", "5000", "Api-Key", API_KEY);
    }

    @Override
    public void stop() {
        server.stop();
        upstream.close();
    }
}
