package org.sassafrastrail.standins;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.http.JsonResponses;
import org.xnio.IoUtils;

/**
 * Simulates a model engine with continuous batching: every running request receives its next token after the same
 * interval. While cold, the engine has a low capacity; a request above it crashes the engine, which aborts all streams
 * and restarts the engine with a new incarnation.
 */
final class EngineStandIn implements HttpHandler {

    private final StandInSettings.EngineSettings settings;
    private final AtomicReference<InjectedFaults> faults;
    private final DelayedLoadReport load;
    private final ExecutionCounts executions = new ExecutionCounts();
    private final FencedOrderHandler orders;
    private final Set<CountDownLatch> activeStreams = ConcurrentHashMap.newKeySet();
    private final AtomicLong incarnation = new AtomicLong(1);
    private final AtomicLong completedStreams = new AtomicLong();
    private final AtomicLong requestCount = new AtomicLong();
    private final AtomicLong crashes = new AtomicLong();
    private final ObjectMapper mapper = new ObjectMapper();

    EngineStandIn(StandInSettings.EngineSettings settings, AtomicReference<InjectedFaults> faults, Clock clock) {
        this.settings = settings;
        this.faults = faults;
        this.orders = new FencedOrderHandler(settings.honoursFencing());
        this.load = new DelayedLoadReport(clock, Duration.ofMillis(settings.lagMilliseconds()));
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws IOException, InterruptedException {
        switch (exchange.getRequestPath()) {
            case "/load" -> JsonResponses.send(exchange, loadReport());
            case "/runs" -> JsonResponses.send(exchange, executions.toJson());
            case "/turn-cold" -> turnCold(exchange);
            case "/orders" -> orders.handle(exchange);
            default -> generate(exchange);
        }
    }

    private String loadReport() {
        DelayedLoadReport.Sample sample = load.delayedSample();
        return "{\"incarnation\":" + incarnation.get() + ",\"running\":" + sample.running() + ",\"cold\":"
                + sample.cold() + ",\"falls\":" + crashes.get() + "}\n";
    }

    private void turnCold(HttpServerExchange exchange) {
        completedStreams.set(0);
        load.addSample(activeStreams.size(), true);
        JsonResponses.send(exchange, "{}\n");
    }

    private boolean isCold() {
        return completedStreams.get() < settings.warmAfter();
    }

    private void generate(HttpServerExchange exchange) throws IOException, InterruptedException {
        JsonNode body = mapper.readTree(exchange.getInputStream().readAllBytes());
        String route = exchange.getRequestPath();
        CountDownLatch aborted = new CountDownLatch(1);
        activeStreams.add(aborted);
        load.addSample(activeStreams.size(), isCold());
        try {
            if (isCold() && activeStreams.size() > settings.coldCapacity()) {
                crash();
            }
            if (faults.get().failsRequest(route, requestCount.incrementAndGet())) {
                exchange.setStatusCode(StatusCodes.INTERNAL_SERVER_ERROR);
                JsonResponses.send(exchange, "{\"error\":true}\n");
            } else if (activeStreams.size() > settings.warmCapacity()) {
                exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
                JsonResponses.send(exchange, "{\"busy\":true}\n");
            } else {
                stream(exchange, body, aborted);
            }
        } finally {
            activeStreams.remove(aborted);
            load.addSample(activeStreams.size(), isCold());
        }
    }

    private void crash() {
        crashes.incrementAndGet();
        incarnation.incrementAndGet();
        completedStreams.set(0);
        activeStreams.forEach(CountDownLatch::countDown);
    }

    private void stream(HttpServerExchange exchange, JsonNode body, CountDownLatch aborted)
            throws IOException, InterruptedException {
        executions.add(body.path("id").asText("none"));
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/x-ndjson");
        OutputStream output = exchange.getOutputStream();
        int tokens = body.path("tokens").asInt(1);
        for (int token = 0; token < tokens; token++) {
            boolean engineCrashed = aborted.await(settings.tokenMilliseconds(), TimeUnit.MILLISECONDS);
            int tokenLimit = faults.get().cutAfterTokens();
            if (engineCrashed || tokenLimit > 0 && token >= tokenLimit) {
                IoUtils.safeClose(exchange.getConnection());
                return;
            }
            writeLine(
                    output,
                    "{\"token\":" + token + ",\"id\":\"" + body.path("id").asText("none") + "\"}\n");
        }
        completedStreams.incrementAndGet();
        writeLine(output, "{\"done\":true,\"tokens\":" + tokens + "}\n");
        output.close();
        exchange.endExchange();
    }

    private static void writeLine(OutputStream output, String line) throws IOException {
        output.write(line.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }
}
