package org.sassafrastrail.standins;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.http.JsonResponses;
import org.xnio.IoUtils;

/** Simulates a plain service, such as a booking desk, and counts the executions of each request. */
final class ServiceStandIn implements HttpHandler {

    private final StandInSettings.ServiceSettings settings;
    private final AtomicReference<InjectedFaults> faults;
    private final ExecutionCounts executions = new ExecutionCounts();
    private final CountDownLatch neverReleased = new CountDownLatch(1);
    private final ObjectMapper mapper = new ObjectMapper();

    ServiceStandIn(StandInSettings.ServiceSettings settings, AtomicReference<InjectedFaults> faults) {
        this.settings = settings;
        this.faults = faults;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws IOException, InterruptedException {
        switch (exchange.getRequestPath()) {
            case "/runs" -> JsonResponses.send(exchange, executions.toJson());
            case "/load" -> JsonResponses.sendNotFound(exchange);
            default -> run(exchange);
        }
    }

    private void run(HttpServerExchange exchange) throws IOException, InterruptedException {
        JsonNode body = mapper.readTree(exchange.getInputStream().readAllBytes());
        String identifier = body.path("id").asText("none");
        executions.add(identifier);
        neverReleased.await(settings.callMilliseconds(), TimeUnit.MILLISECONDS);
        if (faults.get().loseAnswers() > 0) {
            faults.updateAndGet(InjectedFaults::withOneLostAnswerFewer);
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        exchange.setStatusCode(
                faults.get().failsRequest(exchange.getRequestPath(), identifier.hashCode())
                        ? StatusCodes.INTERNAL_SERVER_ERROR
                        : StatusCodes.OK);
        JsonResponses.send(exchange, "{\"done\":true,\"id\":\"" + identifier + "\"}\n");
    }
}
