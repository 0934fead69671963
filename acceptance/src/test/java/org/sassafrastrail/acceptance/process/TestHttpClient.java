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

/** HTTP client that acts as the callers and the fleet operator in process tests. */
public final class TestHttpClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int OK = 200;

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * The response that a caller received.
     *
     * @param status the HTTP status, 0 if the request failed or the response was truncated
     * @param body the complete body
     */
    public record Response(int status, String body) {

        static final Response FAILED = new Response(0, "");

        public boolean isOk() {
            return status == OK;
        }
    }

    public CompletableFuture<Response> send(int port, String path, String body, Map<String, String> headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + ProcessFleet.HOST + ":" + port + path))
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> new Response(response.statusCode(), response.body()))
                .exceptionally(failure -> Response.FAILED);
    }

    public Response post(int port, String path, String body, Map<String, String> headers) {
        return send(port, path, body, headers).join();
    }

    /** Sends a booking, with its identifier as the idempotency key if it is keyed. */
    public CompletableFuture<Response> sendBooking(
            int routerPort, String identifier, boolean keyed, long maximumWaitMilliseconds) {
        Map<String, String> headers = new HashMap<>(guestHeaders());
        headers.put("X-Patience-Milliseconds", String.valueOf(maximumWaitMilliseconds));
        if (keyed) {
            headers.put("Idempotency-Key", identifier);
        }
        return send(routerPort, "/services/desk/book", "{\"id\":\"" + identifier + "\"}", headers);
    }

    public CompletableFuture<Response> sendModelRequest(int routerPort, String identifier, int tokens) {
        return send(
                routerPort,
                "/models/legend/tell",
                "{\"id\":\"" + identifier + "\",\"tokens\":" + tokens + "}",
                guestHeaders());
    }

    public static Map<String, String> guestHeaders() {
        return Map.of("Authorization", "Bearer " + ProcessFleet.CLIENT_KEY);
    }

    public String status(int routerPort, String linkKey) {
        return get(routerPort, "/operator/status", Map.of("X-Sassafrastrail-Link-Key", linkKey));
    }

    public int runCount(int port, String identifier) {
        try {
            return mapper.readTree(get(port, "/runs", Map.of()))
                    .path(identifier)
                    .asInt(0);
        } catch (IOException malformed) {
            throw new IllegalStateException(malformed);
        }
    }

    public int requestsRun(int port) {
        try {
            return mapper.readTree(get(port, "/runs", Map.of())).size();
        } catch (IOException malformed) {
            throw new IllegalStateException(malformed);
        }
    }

    public boolean isReachable(int port, String path) {
        return !get(port, path, Map.of()).isEmpty();
    }

    public String get(int port, String path, Map<String, String> headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + ProcessFleet.HOST + ":" + port + path))
                .timeout(TIMEOUT);
        headers.forEach(request::header);
        try {
            return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
                    .body();
        } catch (IOException unreachable) {
            return "";
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }
}
