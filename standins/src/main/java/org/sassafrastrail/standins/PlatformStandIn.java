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
import io.undertow.util.StatusCodes;
import org.sassafrastrail.http.JsonResponses;
import org.xnio.IoUtils;

/** The platform's store: rows under conditions, feeds of changes, objects; beside it a weight store. */
final class PlatformStandIn implements HttpHandler {

    private static final String VMS = "vms";
    private static final String WEIGHTS = "/weights/";
    private static final String PUT_OBJECT = "/blob-put/";
    private static final String GET_OBJECT = "/blob-get/";
    private static final int MOST_ROWS = 500;

    private final AtomicReference<Misbehaviour> misbehaviour;
    private final RowTables tables = new RowTables();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private final WeightStore weights;
    private final ObjectMapper mapper = new ObjectMapper();

    PlatformStandIn(AtomicReference<Misbehaviour> misbehaviour, StandInSettings.PlatformSettings settings) {
        this.misbehaviour = misbehaviour;
        this.weights = new WeightStore(settings.weightBytesPerSecond());
        settings.vms().forEach(this::list);
    }

    private void list(StandInSettings.VmSettings vm) {
        ObjectNode value = mapper.createObjectNode()
                .put("role", vm.role())
                .put("host", vm.host())
                .put("port", vm.port())
                .put("leaving", vm.leaving());
        put(VMS, vm.node(), value.toString());
    }

    void put(String table, String key, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        tables.change(List.of(), Map.of(new RowTables.Place(table, "", key), encoded), List.of());
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws IOException, InterruptedException {
        String path = URLDecoder.decode(exchange.getRequestURI(), StandardCharsets.UTF_8);
        switch (path) {
            case "/rows-get" -> get(exchange);
            case "/rows-feed" -> feed(exchange);
            case "/rows-tx" -> change(exchange);
            case "/calls" -> JsonResponses.send(
                    exchange, "{\"reads\":" + reads.get() + ",\"writes\":" + writes.get() + "}\n");
            case "/forget-history" -> {
                tables.forgetHistory();
                JsonResponses.send(exchange, "{}\n");
            }
            default -> object(exchange, path);
        }
    }

    private void get(HttpServerExchange exchange) {
        reads.incrementAndGet();
        String limit = query(exchange, "limit");
        int most = limit.isEmpty() ? MOST_ROWS : Math.min(MOST_ROWS, Integer.parseInt(limit));
        RowTables.Found found = tables.range(
                query(exchange, "table"),
                query(exchange, "part"),
                query(exchange, "from"),
                query(exchange, "to"),
                most);
        ObjectNode answer = answer(found);
        answer.put("morePages", found.rows().size() == most);
        JsonResponses.send(exchange, answer.toString());
    }

    private void feed(HttpServerExchange exchange) throws InterruptedException {
        reads.incrementAndGet();
        RowTables.Found found = tables.changes(
                query(exchange, "table"),
                Long.parseLong(query(exchange, "afterRev")),
                Long.parseLong(query(exchange, "waitMs")));
        if (found == null) {
            exchange.setStatusCode(StatusCodes.GONE);
            exchange.endExchange();
        } else {
            JsonResponses.send(exchange, answer(found).toString());
        }
    }

    private void change(HttpServerExchange exchange) throws IOException {
        writes.incrementAndGet();
        JsonNode call = mapper.readTree(exchange.getInputStream().readAllBytes());
        List<RowTables.Condition> conditions = each(call, "expectRev")
                .map(row -> new RowTables.Condition(place(row), row.path("ver").asLong()))
                .toList();
        Map<RowTables.Place, String> puts = new LinkedHashMap<>();
        each(call, "puts").forEach(row -> puts.put(place(row), row.path("value").asText()));
        boolean applied = tables.change(
                conditions,
                puts,
                each(call, "remove").map(PlatformStandIn::place).toList());
        if (applied && misbehaviour.get().loseAnswers() > 0) {
            misbehaviour.updateAndGet(Misbehaviour::oneAnswerLost);
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        exchange.setStatusCode(applied ? StatusCodes.OK : StatusCodes.PRECONDITION_FAILED);
        RowTables.Found now = tables.range("", "", "", "", 0);
        JsonResponses.send(
                exchange,
                answer(new RowTables.Found(applied ? List.of() : tables.present(conditions), now.version()))
                        .toString());
    }

    private ObjectNode answer(RowTables.Found found) {
        ObjectNode answer = mapper.createObjectNode();
        ArrayNode rows = answer.putArray("rows");
        found.rows().forEach(row -> {
            ObjectNode node = rows.addObject()
                    .put("table", row.place().table())
                    .put("part", row.place().part())
                    .put("key", row.place().key())
                    .put("ver", row.version());
            if (row.removed()) {
                node.put("tombstone", true);
            } else {
                node.put("value", row.value());
            }
        });
        return answer.put("ver", found.version()).put("nowMs", System.nanoTime() / 1_000_000);
    }

    private void object(HttpServerExchange exchange, String path) throws IOException, InterruptedException {
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

    private static Stream<JsonNode> each(JsonNode call, String field) {
        return StreamSupport.stream(call.path(field).spliterator(), false);
    }

    private static RowTables.Place place(JsonNode row) {
        return new RowTables.Place(
                row.path("table").asText(),
                row.path("part").asText(""),
                row.path("key").asText());
    }

    private static String query(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? "" : values.getFirst();
    }
}
