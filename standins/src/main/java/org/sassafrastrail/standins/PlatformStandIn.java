package org.sassafrastrail.standins;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.http.JsonResponses;
import org.xnio.IoUtils;

/**
 * Simulates the platform's store over HTTP: rows with conditional transactions, change feeds, objects and the weight
 * store.
 */
final class PlatformStandIn implements HttpHandler {

    private static final HttpString ERA = new HttpString("Store-Era");
    private static final String VMS = "vms";
    private static final String WEIGHTS = "/weights/";
    private static final String PUT_OBJECT = "/blob-put/";
    private static final String GET_OBJECT = "/blob-get/";
    private static final int MAX_ROWS = 500;

    private final AtomicReference<InjectedFaults> faults;
    private final InMemoryRowStore rowStore = new InMemoryRowStore();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private final WeightStore weights;
    private final ObjectMapper mapper = new ObjectMapper();

    PlatformStandIn(AtomicReference<InjectedFaults> faults, StandInSettings.PlatformSettings settings) {
        this.faults = faults;
        this.weights = new WeightStore(settings.weightBytesPerSecond());
        settings.vms().forEach(this::registerVm);
    }

    private void registerVm(StandInSettings.VmSettings vm) {
        ObjectNode value = mapper.createObjectNode()
                .put("role", vm.role())
                .put("host", vm.host())
                .put("port", vm.port())
                .put("leaving", vm.leaving());
        putRow(VMS, vm.node(), value.toString());
    }

    void putRow(String table, String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        rowStore.applyTransaction(List.of(), Map.of(new InMemoryRowStore.RowKey(table, "", key), encoded), List.of());
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws IOException, InterruptedException {
        setEra(exchange, rowStore.era());
        String path = URLDecoder.decode(exchange.getRequestURI(), StandardCharsets.UTF_8);
        switch (path) {
            case "/rows-get" -> readRange(exchange);
            case "/rows-feed" -> readFeed(exchange);
            case "/rows-tx" -> applyTransaction(exchange);
            case "/calls" -> JsonResponses.send(
                    exchange, "{\"reads\":" + reads.get() + ",\"writes\":" + writes.get() + "}\n");
            case "/forget-history" -> {
                rowStore.discardHistory();
                JsonResponses.send(exchange, "{}\n");
            }
            case "/copy-rows" -> {
                rowStore.copy();
                JsonResponses.send(exchange, "{}\n");
            }
            case "/restore-rows" -> {
                rowStore.restore();
                JsonResponses.send(exchange, "{}\n");
            }
            default -> handleObject(exchange, path);
        }
    }

    private static void setEra(HttpServerExchange exchange, long era) {
        exchange.getResponseHeaders().put(ERA, era);
    }

    private void readRange(HttpServerExchange exchange) {
        reads.incrementAndGet();
        String limit = queryParameter(exchange, "limit");
        int maxRows = limit.isEmpty() ? MAX_ROWS : Math.min(MAX_ROWS, Integer.parseInt(limit));
        InMemoryRowStore.ReadResult result = rowStore.readRange(
                queryParameter(exchange, "table"),
                queryParameter(exchange, "part"),
                queryParameter(exchange, "from"),
                queryParameter(exchange, "to"),
                maxRows);
        setEra(exchange, result.era());
        ObjectNode response = toJson(result);
        response.put("morePages", result.rows().size() == maxRows);
        JsonResponses.send(exchange, response.toString());
    }

    private void readFeed(HttpServerExchange exchange) throws InterruptedException {
        reads.incrementAndGet();
        InMemoryRowStore.ReadResult result = rowStore.awaitChanges(
                queryParameter(exchange, "table"),
                Long.parseLong(queryParameter(exchange, "afterRev")),
                Long.parseLong(queryParameter(exchange, "waitMs")));
        if (result == null) {
            setEra(exchange, rowStore.era());
            exchange.setStatusCode(StatusCodes.GONE);
            exchange.endExchange();
        } else {
            setEra(exchange, result.era());
            JsonResponses.send(exchange, toJson(result).toString());
        }
    }

    private void applyTransaction(HttpServerExchange exchange) throws IOException {
        writes.incrementAndGet();
        JsonNode transaction = mapper.readTree(exchange.getInputStream().readAllBytes());
        List<InMemoryRowStore.VersionCondition> conditions = elements(transaction, "expectRev")
                .map(row -> new InMemoryRowStore.VersionCondition(
                        rowKey(row), row.path("ver").asLong()))
                .toList();
        Map<InMemoryRowStore.RowKey, String> puts = new LinkedHashMap<>();
        elements(transaction, "puts")
                .forEach(row -> puts.put(rowKey(row), row.path("value").asText()));
        boolean applied = rowStore.applyTransaction(
                conditions,
                puts,
                elements(transaction, "remove").map(PlatformStandIn::rowKey).toList());
        if (applied && faults.get().loseAnswers() > 0) {
            faults.updateAndGet(InjectedFaults::withOneLostAnswerFewer);
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        exchange.setStatusCode(applied ? StatusCodes.OK : StatusCodes.PRECONDITION_FAILED);
        InMemoryRowStore.ReadResult current = rowStore.readRange("", "", "", "", 0);
        setEra(exchange, current.era());
        JsonResponses.send(
                exchange,
                toJson(new InMemoryRowStore.ReadResult(
                                applied ? List.of() : rowStore.currentRows(conditions),
                                current.version(),
                                current.era()))
                        .toString());
    }

    private ObjectNode toJson(InMemoryRowStore.ReadResult result) {
        ObjectNode response = mapper.createObjectNode();
        ArrayNode rows = response.putArray("rows");
        result.rows().forEach(row -> {
            ObjectNode node = rows.addObject()
                    .put("table", row.rowKey().table())
                    .put("part", row.rowKey().part())
                    .put("key", row.rowKey().key())
                    .put("ver", row.version());
            if (row.removed()) {
                node.put("tombstone", true);
            } else {
                node.put("value", row.value());
            }
        });
        return response.put("ver", result.version()).put("nowMs", System.nanoTime() / 1_000_000);
    }

    private void handleObject(HttpServerExchange exchange, String path) throws IOException, InterruptedException {
        if (path.startsWith(PUT_OBJECT)) {
            writes.incrementAndGet();
            objects.put(
                    path.substring(PUT_OBJECT.length()),
                    exchange.getInputStream().readAllBytes());
            JsonResponses.send(exchange, "{}\n");
        } else if (path.startsWith(GET_OBJECT)) {
            reads.incrementAndGet();
            byte[] content = objects.get(path.substring(GET_OBJECT.length()));
            exchange.setStatusCode(content == null ? StatusCodes.NOT_FOUND : StatusCodes.OK);
            exchange.getOutputStream().write(content == null ? new byte[0] : content);
            exchange.endExchange();
        } else if (path.startsWith(WEIGHTS)) {
            weights.send(exchange, path.substring(WEIGHTS.length()));
        } else {
            JsonResponses.sendNotFound(exchange);
        }
    }

    private static Stream<JsonNode> elements(JsonNode parent, String field) {
        return StreamSupport.stream(parent.path(field).spliterator(), false);
    }

    private static InMemoryRowStore.RowKey rowKey(JsonNode row) {
        return new InMemoryRowStore.RowKey(
                row.path("table").asText(),
                row.path("part").asText(""),
                row.path("key").asText());
    }

    private static String queryParameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? "" : values.getFirst();
    }
}
