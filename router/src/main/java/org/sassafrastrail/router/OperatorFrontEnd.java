package org.sassafrastrail.router;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.http.JsonResponses;
import org.sassafrastrail.http.SharedKey;
import org.sassafrastrail.messages.DispatchHeaders;
import org.sassafrastrail.model.Identifiers;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.router.core.RouterState;
import org.sassafrastrail.runtime.Metrics;

/**
 * Serves the health checks of the platform's load balancer ({@code /health}, {@code /ready}) and the pages for operators
 * ({@code /operator/...}).
 */
final class OperatorFrontEnd implements HttpHandler {

    private static final String EXPLAIN = "/operator/explain/";

    private final Supplier<RouterState> state;
    private final Metrics metrics;
    private final RequestTraces traces;
    private final RouterSettings settings;
    private final SharedKey key;
    private final ObjectMapper mapper = new ObjectMapper();

    OperatorFrontEnd(Supplier<RouterState> state, Metrics metrics, RequestTraces traces, RouterSettings settings) {
        this.state = state;
        this.metrics = metrics;
        this.traces = traces;
        this.settings = settings;
        this.key = new SharedKey(new HttpString(DispatchHeaders.LINK_KEY), settings.linkKey());
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        if (path.equals("/health")) {
            JsonResponses.send(exchange, "{\"healthy\":true}\n");
        } else if (path.equals("/ready")) {
            readiness(exchange);
        } else if (key.checkOrReject(exchange)) {
            operator(exchange, path);
        }
    }

    private void operator(HttpServerExchange exchange, String path) {
        if (path.equals("/operator/metrics")) {
            JsonResponses.send(exchange, metrics.toJson());
        } else if (path.equals("/operator/status")) {
            JsonResponses.send(exchange, json(RouterStatus.of(settings.node(), state.get())));
        } else if (path.startsWith(EXPLAIN)) {
            explain(exchange, path.substring(EXPLAIN.length()));
        } else {
            JsonResponses.sendNotFound(exchange);
        }
    }

    private void readiness(HttpServerExchange exchange) {
        RouterState current = state.get();
        boolean ready =
                current.configuration().isPresent() && !current.lifecycle().stopping();
        exchange.setStatusCode(ready ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
        JsonResponses.send(exchange, "{\"ready\":" + ready + "}\n");
    }

    private void explain(HttpServerExchange exchange, String text) {
        Optional<List<String>> steps =
                Identifiers.isName(text) ? traces.find(new RequestIdentifier(text)) : Optional.empty();
        exchange.setStatusCode(steps.isPresent() ? StatusCodes.OK : StatusCodes.NOT_FOUND);
        JsonResponses.send(exchange, json(steps.orElse(List.of())));
    }

    private String json(Object value) {
        try {
            return mapper.writeValueAsString(value) + "\n";
        } catch (JsonProcessingException unexpected) {
            throw new IllegalStateException("cannot serialize the response of an operator page as JSON", unexpected);
        }
    }
}
