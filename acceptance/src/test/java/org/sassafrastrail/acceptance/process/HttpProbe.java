package org.sassafrastrail.acceptance.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.ObjectMapper;

/** Callers of a test. */
public final class HttpProbe {

    private static final Duration PATIENCE = Duration.ofSeconds(60);
    private static final int OK = 200;

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * What a caller got.
     *
     * @param status the HTTP status, 0 if the answer broke off
     * @param body the whole body
     */
    public record Answer(int status, String body) {

        static final Answer BROKEN = new Answer(0, "");

        public boolean isWhole() {
            return status == OK;
        }
    }

    public CompletableFuture<Answer> send(int port, String path, String body, Map<String, String> headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + ProcessFleet.HOST + ":" + port + path))
                .timeout(PATIENCE)
                .POST(HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> new Answer(response.statusCode(), response.body()))
                .exceptionally(broken -> Answer.BROKEN);
    }

    public Answer post(int port, String path, String body, Map<String, String> headers) {
        return send(port, path, body, headers).join();
    }

    /** A booking with a key and an identifier of its own. */
    public CompletableFuture<Answer> book(int routerPort, String identifier, boolean keyed, long patience) {
        Map<String, String> headers = new HashMap<>(guest());
        headers.put("X-Patience-Milliseconds", String.valueOf(patience));
        if (keyed) {
            headers.put("Idempotency-Key", identifier);
        }
        return send(routerPort, "/services/desk/book", "{\"id\":\"" + identifier + "\"}", headers);
    }

    public CompletableFuture<Answer> tell(int routerPort, String identifier, int tokens) {
        return send(
                routerPort,
                "/models/legend/tell",
                "{\"id\":\"" + identifier + "\",\"tokens\":" + tokens + "}",
                guest());
    }

    public static Map<String, String> guest() {
        return Map.of("Authorization", "Bearer " + ProcessFleet.KEY);
    }

    public String status(int routerPort, String linkKey) {
        return get(routerPort, "/operator/status", Map.of("X-Sassafrastrail-Link-Key", linkKey));
    }

    public int runs(int port, String identifier) {
        try {
            return mapper.readTree(get(port, "/runs", Map.of()))
                    .path(identifier)
                    .asInt(0);
        } catch (IOException malformed) {
            throw new IllegalStateException(malformed);
        }
    }

    public int allRuns(int port) {
        try {
            return mapper.readTree(get(port, "/runs", Map.of())).size();
        } catch (IOException malformed) {
            throw new IllegalStateException(malformed);
        }
    }

    public boolean answers(int port, String path) {
        return !get(port, path, Map.of()).isEmpty();
    }

    public String get(int port, String path, Map<String, String> headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + ProcessFleet.HOST + ":" + port + path))
                .timeout(PATIENCE);
        headers.forEach(request::header);
        try {
            return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
                    .body();
        } catch (IOException unreachable) {
            return "";
        } catch (InterruptedException stopped) {
            throw new IllegalStateException(stopped);
        }
    }
}
