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
 * A model engine that batches continuously: every running request gets its next token after the same time. In a cold
 * start it bears little; one request too many and it falls over, which cuts all its streams and starts it anew.
 */
final class EngineStandIn implements HttpHandler {

    private final StandInSettings.EngineSettings settings;
    private final AtomicReference<Misbehaviour> misbehaviour;
    private final LaggingLoad load;
    private final RunCounts runs = new RunCounts();
    private final Orders orders;
    private final Set<CountDownLatch> streams = ConcurrentHashMap.newKeySet();
    private final AtomicLong incarnation = new AtomicLong(1);
    private final AtomicLong answered = new AtomicLong();
    private final AtomicLong requests = new AtomicLong();
    private final AtomicLong falls = new AtomicLong();
    private final ObjectMapper mapper = new ObjectMapper();

    EngineStandIn(StandInSettings.EngineSettings settings, AtomicReference<Misbehaviour> misbehaviour, Clock clock) {
        this.settings = settings;
        this.misbehaviour = misbehaviour;
        this.orders = new Orders(settings.honoursFencing());
        this.load = new LaggingLoad(clock, Duration.ofMillis(settings.lagMilliseconds()));
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws IOException, InterruptedException {
        switch (exchange.getRequestPath()) {
            case "/load" -> JsonResponses.send(exchange, report());
            case "/runs" -> JsonResponses.send(exchange, runs.json());
            case "/turn-cold" -> turnCold(exchange);
            case "/orders" -> orders.take(exchange);
            default -> generate(exchange);
        }
    }

    private String report() {
        LaggingLoad.Sample sample = load.report();
        return "{\"incarnation\":" + incarnation.get() + ",\"running\":" + sample.running() + ",\"cold\":"
                + sample.cold() + ",\"falls\":" + falls.get() + "}\n";
    }

    private void turnCold(HttpServerExchange exchange) {
        answered.set(0);
        load.note(streams.size(), true);
        JsonResponses.send(exchange, "{}\n");
    }

    private boolean isCold() {
        return answered.get() < settings.warmAfter();
    }

    private void generate(HttpServerExchange exchange) throws IOException, InterruptedException {
        JsonNode body = mapper.readTree(exchange.getInputStream().readAllBytes());
        String route = exchange.getRequestPath();
        CountDownLatch cut = new CountDownLatch(1);
        streams.add(cut);
        load.note(streams.size(), isCold());
        try {
            if (isCold() && streams.size() > settings.coldCapacity()) {
                fallOver();
            }
            if (misbehaviour.get().fails(route, requests.incrementAndGet())) {
                exchange.setStatusCode(StatusCodes.INTERNAL_SERVER_ERROR);
                JsonResponses.send(exchange, "{\"error\":true}\n");
            } else if (streams.size() > settings.warmCapacity()) {
                exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
                JsonResponses.send(exchange, "{\"busy\":true}\n");
            } else {
                stream(exchange, body, cut);
            }
        } finally {
            streams.remove(cut);
            load.note(streams.size(), isCold());
        }
    }

    private void fallOver() {
        falls.incrementAndGet();
        incarnation.incrementAndGet();
        answered.set(0);
        streams.forEach(CountDownLatch::countDown);
    }

    private void stream(HttpServerExchange exchange, JsonNode body, CountDownLatch cut)
            throws IOException, InterruptedException {
        runs.add(body.path("id").asText("none"));
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/x-ndjson");
        OutputStream output = exchange.getOutputStream();
        int tokens = body.path("tokens").asInt(1);
        for (int token = 0; token < tokens; token++) {
            boolean told = cut.await(settings.tokenMilliseconds(), TimeUnit.MILLISECONDS);
            int limit = misbehaviour.get().cutAfterTokens();
            if (told || limit > 0 && token >= limit) {
                IoUtils.safeClose(exchange.getConnection());
                return;
            }
            write(output, "{\"token\":" + token + ",\"id\":\"" + body.path("id").asText("none") + "\"}\n");
        }
        answered.incrementAndGet();
        write(output, "{\"done\":true,\"tokens\":" + tokens + "}\n");
        output.close();
        exchange.endExchange();
    }

    private static void write(OutputStream output, String line) throws IOException {
        output.write(line.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }
}
