package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A sound store of the platform, in memory: rows, transactions and feeds, as PROTOCOL.md tells them. */
final class Store implements AutoCloseable {

    private static final int MAX_ROWS = 500;

    private record Key(String table, String part, String key) {}

    /** A row; one without a value was removed. */
    private record Row(Key key, String value, long version) {}

    private final ObjectMapper mapper = new ObjectMapper();
    private final ServerSocket server;
    private final Map<Key, Row> rows = new HashMap<>();
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    private Map<Key, Row> copiedRows = Map.of();
    private long copiedVersion;
    private long version = 100;
    private volatile long era;
    private volatile boolean away;

    Store() throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        Threads.start("store", this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes a row as the operator or a worker does. The store has accepted it when this returns. */
    synchronized void put(String table, String key, String value) {
        version++;
        write(table, key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
    }

    synchronized void remove(String table, String key) {
        version++;
        write(table, key, null);
    }

    /** Makes the copy from which the store may come back. */
    synchronized void copy() {
        copiedRows = Map.copyOf(rows);
        copiedVersion = version;
    }

    /** The store is away: its channels are reset, and new ones too. */
    void goAway() {
        away = true;
        channels.forEach(Store::reset);
    }

    /** The store is back from its copy, in a new era. */
    synchronized void comeBackFromCopy() {
        rows.clear();
        rows.putAll(copiedRows);
        version = copiedVersion;
        era++;
        away = false;
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException closed) {
            // It has ended already.
        }
    }

    private void write(String table, String key, String value) {
        Key name = new Key(table, "", key);
        rows.put(name, new Row(name, value, version));
        notifyAll();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            if (away) {
                reset(socket);
                continue;
            }
            channels.add(socket);
            Threads.start("store-channel", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            Http.Head head = Http.readHead(input);
            while (head != null) {
                answer(output, head, Http.readBody(input, head));
                head = Http.readHead(input);
            }
        } finally {
            channels.remove(socket);
        }
    }

    private void answer(OutputStream output, Http.Head head, byte[] body) throws IOException, InterruptedException {
        String[] target = head.word(1).split("\\?", 2);
        Map<String, String> query = query(target.length > 1 ? target[1] : "");
        int status = 200;
        long answeredEra = era;
        ObjectNode response = mapper.createObjectNode();
        switch (target[0]) {
            case "/rows-get" -> range(query, response);
            case "/rows-feed" -> status = feed(query, response) ? 200 : 410;
            case "/rows-tx" -> status = transaction(mapper.readTree(body), response) ? 200 : 412;
            default -> status = 404;
        }
        if (answeredEra != era) {
            throw new IOException("the store went away while it answered");
        }
        byte[] bytes = mapper.writeValueAsBytes(response);
        output.write(("HTTP/1.1 " + status + " X\r\nStore-Era: " + answeredEra
                        + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        output.write(bytes);
        output.flush();
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new TreeMap<>();
        for (String pair : text.split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], parts.length > 1 ? URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
        }
        return query;
    }

    private synchronized void range(Map<String, String> query, ObjectNode response) {
        String to = query.getOrDefault("to", "");
        List<Row> found = rows.values().stream()
                .filter(row -> row.key().table().equals(query.get("table")) && row.value() != null)
                .filter(row -> row.key().part().equals(query.getOrDefault("part", "")))
                .filter(row -> row.key().key().compareTo(query.getOrDefault("from", "")) >= 0)
                .filter(row -> to.isEmpty() || row.key().key().compareTo(to) < 0)
                .sorted(Comparator.comparing(row -> row.key().key()))
                .toList();
        String limit = query.getOrDefault("limit", "");
        int count = limit.isEmpty() ? MAX_ROWS : Math.min(MAX_ROWS, Integer.parseInt(limit));
        write(response, found.subList(0, Math.min(count, found.size())));
        response.put("morePages", found.size() > count);
    }

    /** Returns whether the store has the version from which the feed is asked for. */
    private synchronized boolean feed(Map<String, String> query, ObjectNode response) throws InterruptedException {
        long after = Long.parseLong(query.get("afterRev"));
        if (after > version) {
            return false;
        }
        long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        List<Row> changed = changedSince(query.get("table"), after);
        long left = end - System.nanoTime();
        while (changed.isEmpty() && left > 0) {
            wait(Math.max(1, left / 1_000_000));
            changed = changedSince(query.get("table"), after);
            left = end - System.nanoTime();
        }
        write(response, changed);
        return true;
    }

    private List<Row> changedSince(String table, long after) {
        return rows.values().stream()
                .filter(row -> row.key().table().equals(table) && row.version() > after)
                .sorted(Comparator.comparing(Row::version))
                .toList();
    }

    private synchronized boolean transaction(JsonNode transaction, ObjectNode response) {
        List<Row> current = new ArrayList<>();
        boolean holds = true;
        for (JsonNode condition : transaction.path("expectRev")) {
            Row row = rows.get(key(condition));
            long known = row == null || row.value() == null ? 0 : row.version();
            holds &= known == condition.path("ver").asLong();
            if (known > 0) {
                current.add(row);
            }
        }
        if (holds) {
            version++;
            transaction.path("puts").forEach(row -> put(key(row), row.path("value").asText()));
            transaction.path("remove").forEach(row -> put(key(row), null));
            notifyAll();
        }
        write(response, holds ? List.of() : current);
        return holds;
    }

    private void put(Key key, String value) {
        rows.put(key, new Row(key, value, version));
    }

    private static Key key(JsonNode row) {
        return new Key(
                row.path("table").asText(), row.path("part").asText(""), row.path("key").asText());
    }

    private void write(ObjectNode response, List<Row> found) {
        ArrayNode array = response.putArray("rows");
        found.forEach(row -> {
            ObjectNode node = array.addObject()
                    .put("table", row.key().table())
                    .put("part", row.key().part())
                    .put("key", row.key().key())
                    .put("ver", row.version());
            if (row.value() == null) {
                node.put("tombstone", true);
            } else {
                node.put("value", row.value());
            }
        });
        response.put("ver", version).put("nowMs", System.nanoTime() / 1_000_000);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
