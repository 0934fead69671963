package org.sassafrastrail.standins;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.http.JsonPage;
import org.xnio.IoUtils;

/** The platform: a table with conditional writes, an object store, a weight store and a list of VMs. */
final class PlatformStandIn implements HttpHandler {

    private static final String TABLE = "/table/";
    private static final String OBJECTS = "/objects/";
    private static final String WEIGHTS = "/weights/";

    private final AtomicReference<Misbehaviour> misbehaviour;
    private final AtomicReference<List<StandInSettings.VmSettings>> vms;
    private final Map<String, Row> rows = new ConcurrentHashMap<>();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final AtomicLong reads = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();
    private final WeightStore weights;
    private final ObjectMapper mapper = new ObjectMapper();

    PlatformStandIn(AtomicReference<Misbehaviour> misbehaviour, StandInSettings.PlatformSettings settings) {
        this.misbehaviour = misbehaviour;
        this.vms = new AtomicReference<>(settings.vms());
        this.weights = new WeightStore(settings.weightBytesPerSecond());
    }

    /** A row of the table; the version of a deleted row is not used again. */
    private record Row(byte[] value, long version) {}

    @Override
    public void handleRequest(HttpServerExchange exchange) throws IOException, InterruptedException {
        String path = URLDecoder.decode(exchange.getRequestURI(), StandardCharsets.UTF_8);
        if (path.startsWith(TABLE)) {
            table(exchange, path.substring(TABLE.length()));
        } else if (path.startsWith(OBJECTS)) {
            objects(exchange, path.substring(OBJECTS.length()));
        } else if (path.startsWith(WEIGHTS)) {
            weights.send(exchange, path.substring(WEIGHTS.length()));
        } else if (path.equals("/vms")) {
            vms(exchange);
        } else if (path.equals("/calls")) {
            JsonPage.send(exchange, "{\"reads\":" + reads.get() + ",\"writes\":" + writes.get() + "}\n");
        } else {
            JsonPage.missing(exchange);
        }
    }

    private void table(HttpServerExchange exchange, String key) throws IOException {
        if (method(exchange).equals("GET")) {
            reads.incrementAndGet();
            Row row = rows.get(key);
            answer(exchange, row == null ? StatusCodes.NOT_FOUND : StatusCodes.OK, Optional.ofNullable(row));
        } else {
            writes.incrementAndGet();
            change(exchange, key, exchange.getInputStream().readAllBytes());
        }
    }

    private synchronized void change(HttpServerExchange exchange, String key, byte[] value) {
        Row row = rows.get(key);
        if (!conditionHolds(exchange, row)) {
            answer(exchange, StatusCodes.PRECONDITION_FAILED, Optional.ofNullable(row));
            return;
        }
        Row changed = new Row(value, row == null ? 1 : row.version() + 1);
        if (method(exchange).equals("DELETE")) {
            rows.remove(key);
        } else {
            rows.put(key, changed);
        }
        if (misbehaviour.get().loseAnswers() > 0) {
            misbehaviour.updateAndGet(Misbehaviour::oneAnswerLost);
            IoUtils.safeClose(exchange.getConnection());
        } else {
            answer(exchange, StatusCodes.OK, Optional.of(changed));
        }
    }

    private static boolean conditionHolds(HttpServerExchange exchange, Row row) {
        String match = exchange.getRequestHeaders().getFirst(Headers.IF_MATCH);
        return match == null ? row == null : row != null && match.equals(tag(row));
    }

    private static void answer(HttpServerExchange exchange, int status, Optional<Row> row) {
        exchange.setStatusCode(status);
        row.ifPresent(present -> exchange.getResponseHeaders().put(Headers.ETAG, tag(present)));
        exchange.getResponseSender()
                .send(row.map(present -> new String(present.value(), StandardCharsets.UTF_8))
                        .orElse(""));
    }

    private static String tag(Row row) {
        return "\"" + row.version() + "\"";
    }

    private void objects(HttpServerExchange exchange, String name) throws IOException {
        if (method(exchange).equals("PUT")) {
            writes.incrementAndGet();
            objects.put(name, exchange.getInputStream().readAllBytes());
            JsonPage.send(exchange, "{}\n");
            return;
        }
        reads.incrementAndGet();
        byte[] content = objects.get(name);
        exchange.setStatusCode(content == null ? StatusCodes.NOT_FOUND : StatusCodes.OK);
        exchange.getOutputStream().write(content == null ? new byte[0] : content);
        exchange.endExchange();
    }

    private void vms(HttpServerExchange exchange) throws IOException {
        if (method(exchange).equals("PUT")) {
            vms.set(mapper.readValue(
                    exchange.getInputStream().readAllBytes(),
                    new TypeReference<List<StandInSettings.VmSettings>>() {}));
        }
        reads.incrementAndGet();
        JsonPage.send(exchange, mapper.writeValueAsString(vms.get()));
    }

    private static String method(HttpServerExchange exchange) {
        return exchange.getRequestMethod().toString();
    }
}
