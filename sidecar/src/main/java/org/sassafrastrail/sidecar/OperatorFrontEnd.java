package org.sassafrastrail.sidecar;

import java.util.function.Supplier;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import org.sassafrastrail.http.JsonResponses;
import org.sassafrastrail.http.SharedKey;
import org.sassafrastrail.messages.DispatchHeaders;
import org.sassafrastrail.runtime.Metrics;
import org.sassafrastrail.sidecar.core.SidecarState;

/** Serves health checks of the platform ({@code /health}) and requests of operators ({@code /operator/...}). */
final class OperatorFrontEnd implements HttpHandler {

    private final Supplier<SidecarState> state;
    private final Metrics metrics;
    private final SharedKey key;

    OperatorFrontEnd(SidecarSettings settings, Supplier<SidecarState> state, Metrics metrics) {
        this.state = state;
        this.metrics = metrics;
        this.key = new SharedKey(new HttpString(DispatchHeaders.LINK_KEY), settings.linkKey());
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (path.equals("/health")) {
            JsonResponses.send(exchange, "{\"healthy\":true}\n");
        } else if (key.checkOrReject(exchange)) {
            operator(exchange, path);
        }
    }

    private void operator(HttpServerExchange exchange, String path) {
        switch (path) {
            case "/operator/metrics" -> JsonResponses.send(exchange, metrics.toJson());
            case "/operator/status" -> JsonResponses.send(exchange, status());
            default -> JsonResponses.sendNotFound(exchange);
        }
    }

    private String status() {
        SidecarState known = state.get();
        return "{\"revision\":" + known.configuration().document().revision().value() + ",\"inFlight\":"
                + known.work().running().size() + ",\"limit\":"
                + known.upstream().limit().current() + ",\"reachable\":"
                + known.upstream().isReachable() + "}\n";
    }
}
