package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in for the platform's store: rows with versions, ranges and a feed of changes. It keeps its whole history. */
final class Store implements AutoCloseable {

    private static final Pattern ENTRY = Pattern.compile(
            "\\{\"table\":\"([^\"]*)\",\"part\":\"([^\"]*)\",\"key\":\"([^\"]*)\",\"(ver|value)\":\"?([^\"}]*)\"?\\}");

    private final HttpServer server;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private final long started = System.nanoTime();
    private long version;

    private record Row(String table, String key, String value, long version) {

        String json() {
            String content = value == null ? "\"tombstone\":true" : "\"value\":\"" + value + "\"";
            return "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + key + "\"," + content + ",\"ver\":" + version
                    + "}";
        }
    }

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(Store::daemon));
        server.createContext("/", this::handle);
        server.start();
    }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(work, "store");
        thread.setDaemon(true);
        return thread;
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a row as the operator or a worker does. */
    synchronized void put(String table, String key, String json) {
        version++;
        apply(new Row(
                table, key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), version));
    }

    synchronized void remove(String table, String key) {
        version++;
        apply(new Row(table, key, null, version));
    }

    private void apply(Row row) {
        TreeMap<String, Row> rows = tables.computeIfAbsent(row.table(), name -> new TreeMap<>());
        if (row.value() == null) {
            rows.remove(row.key());
        } else {
            rows.put(row.key(), row);
        }
        history.add(row);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            switch (exchange.getRequestURI().getPath()) {
                case "/rows-get" -> send(exchange, 200, range(query(exchange)));
                case "/rows-feed" -> send(exchange, 200, feed(query(exchange)));
                case "/rows-tx" -> commit(exchange, new String(body, StandardCharsets.UTF_8));
                default -> send(exchange, 404, "{}");
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
            int equals = pair.indexOf('=');
            values.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return values;
    }

    private synchronized String range(Map<String, String> query) {
        List<Row> rows = tables.getOrDefault(query.get("table"), new TreeMap<>()).tailMap(query.getOrDefault("from", ""))
                .values().stream()
                .limit(Long.parseLong(query.getOrDefault("limit", "500")))
                .toList();
        return json(rows, false);
    }

    private synchronized String feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("afterRev"));
        long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        while (true) {
            List<Row> rows = history.stream()
                    .filter(row -> row.version() > after && row.table().equals(query.get("table")))
                    .toList();
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || left <= 0) {
                return json(rows, false);
            }
            wait(left);
        }
    }

    private synchronized void commit(HttpExchange exchange, String body) throws IOException {
        int putsAt = body.indexOf("\"puts\"");
        int removeAt = body.indexOf("\"remove\"");
        Matcher entries = ENTRY.matcher(body);
        List<Row> changes = new ArrayList<>();
        boolean holds = true;
        while (entries.find()) {
            String table = entries.group(1);
            String key = entries.group(3);
            if (entries.start() > removeAt) {
                changes.add(new Row(table, key, null, version + 1));
            } else if (entries.start() > putsAt) {
                changes.add(new Row(table, key, entries.group(5), version + 1));
            } else {
                Row known = tables.getOrDefault(table, new TreeMap<>()).get(key);
                holds &= (known == null ? 0 : known.version()) == Long.parseLong(entries.group(5));
            }
        }
        if (holds) {
            version++;
            changes.forEach(this::apply);
        }
        send(exchange, holds ? 200 : 412, json(List.of(), false));
    }

    private String json(List<Row> rows, boolean more) {
        return "{\"rows\":[" + String.join(",", rows.stream().map(Row::json).toList()) + "],\"morePages\":" + more
                + ",\"ver\":" + version + ",\"nowMs\":" + (System.nanoTime() - started) / 1_000_000 + "}";
    }

    private static void send(HttpExchange exchange, int status, String json) throws IOException {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
