package org.sassafrastrail.standins;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.xnio.IoUtils;

/**
 * Simulates an upstream instance of the platform. The second segment of the request path selects its behaviour, such as
 * {@code full}, {@code error}, {@code hang} or {@code cut}; any other segment gives a successful response.
 */
public final class UpstreamStandIn implements AutoCloseable {

    private static final String EVENT_STREAM = "text/event-stream";
    private static final HttpString RECEIPT_HEADER = new HttpString("X-Response-Seal");

    private static final HttpString REQUEST_HEADER = new HttpString("X-Request-Id");

    private final String identifier;
    private final Undertow server;
    private final List<ReceivedRequest> receivedRequests = new CopyOnWriteArrayList<>();
    private final CountDownLatch hangingResponsesReleased = new CountDownLatch(1);
    private final CountDownLatch clientDisconnected = new CountDownLatch(1);

    /**
     * Starts an upstream on a free port of the loopback address.
     *
     * @param identifier the instance identifier that requests must name and that is part of the receipt
     */
    public UpstreamStandIn(String identifier) {
        this.identifier = identifier;
        this.server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setIoThreads(1)
                .setWorkerThreads(8)
                .setHandler(new BlockingHandler(this::respond))
                .build();
        server.start();
    }

    /**
     * A request that reached the upstream.
     *
     * @param requestIdentifier the identifier that the caller gave the request
     * @param pathAndQuery the request path and query
     * @param body the request body
     * @param account the client account on whose behalf the request is sent
     * @param expectedInstance the identifier of the upstream that the request is addressed to
     * @param apiKey the caller's API key, which a gateway must not forward
     * @param lastEventIdentifier the identifier of the last event received, if the request resumes a stream
     * @param deadlineMilliseconds the remaining time in milliseconds, -1 if the request does not carry a deadline
     */
    public record ReceivedRequest(
            String requestIdentifier,
            String pathAndQuery,
            String body,
            Optional<String> account,
            Optional<String> expectedInstance,
            Optional<String> apiKey,
            Optional<String> lastEventIdentifier,
            long deadlineMilliseconds) {}

    /**
     * Returns the port that the upstream listens on.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    /**
     * Returns the requests received so far, in order of arrival.
     *
     * @return the received requests
     */
    public List<ReceivedRequest> receivedRequests() {
        return List.copyOf(receivedRequests);
    }

    /** Completes the responses that are hanging. */
    public void releaseHangingResponses() {
        hangingResponsesReleased.countDown();
    }

    /**
     * Waits up to 5 s until the client of a hanging response disconnects.
     *
     * @return whether a client disconnected
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean awaitClientDisconnect() throws InterruptedException {
        return clientDisconnected.await(5, TimeUnit.SECONDS);
    }

    private void respond(HttpServerExchange exchange) throws Exception {
        String body = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        receivedRequests.add(new ReceivedRequest(
                header(exchange, "X-Request-Id").orElse(""),
                exchange.getRequestURI() + "?" + exchange.getQueryString(),
                body,
                header(exchange, "X-Tenant"),
                header(exchange, "X-Expect-Instance"),
                header(exchange, "Api-Key"),
                header(exchange, "Last-Event-Id"),
                header(exchange, "X-Request-Deadline").map(Long::parseLong).orElse(-1L)));
        if (!header(exchange, "X-Expect-Instance").equals(Optional.of(identifier))) {
            exchange.setStatusCode(421);
            return;
        }
        exchange.getResponseHeaders()
                .put(REQUEST_HEADER, header(exchange, "X-Request-Id").orElse(""))
                .put(RECEIPT_HEADER, "receipt-of-" + identifier);
        String behaviour = exchange.getRequestPath().split("/")[2];
        switch (behaviour) {
            case "full" -> {
                exchange.getResponseHeaders().put(new HttpString("X-Not-Executed"), "1");
                exchange.setStatusCode(503);
            }
            case "foreign" -> {
                exchange.getResponseHeaders().put(REQUEST_HEADER, "another");
                exchange.getResponseSender().send("of another request");
            }
            case "short" -> {
                exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, 100);
                exchange.getOutputStream().write(new byte[40]);
                exchange.getOutputStream().flush();
                IoUtils.safeClose(exchange.getConnection());
            }
            case "error" -> {
                exchange.setStatusCode(500);
                exchange.getResponseSender().send("broken " + identifier);
            }
            case "hang" -> trickle(exchange, 200, number -> ":");
            case "hang-events" -> trickleEvents(exchange, 200);
            case "slow-events" -> trickleEvents(exchange, 140);
            case "events" -> sendEvents(exchange, false);
            case "cut" -> sendEvents(exchange, header(exchange, "Last-Event-Id").isEmpty());
            default -> exchange.getResponseSender().send("done " + body);
        }
    }

    private void trickleEvents(HttpServerExchange exchange, int events) throws InterruptedException {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, EVENT_STREAM);
        trickle(exchange, events, UpstreamStandIn::event);
    }

    /** Sends a part every 25 ms, because only a failed write shows that the client has disconnected. */
    private void trickle(HttpServerExchange exchange, int parts, IntFunction<String> part) throws InterruptedException {
        try {
            OutputStream output = exchange.getOutputStream();
            for (int sent = 0; sent < parts && !hangingResponsesReleased.await(25, TimeUnit.MILLISECONDS); sent++) {
                output.write(part.apply(sent + 1).getBytes(StandardCharsets.UTF_8));
                output.flush();
            }
        } catch (IOException disconnected) {
            clientDisconnected.countDown();
        }
    }

    private static String event(int number) {
        return "id: " + number + "\ndata: word" + number + "\n\n";
    }

    private static void sendEvents(HttpServerExchange exchange, boolean truncate) throws IOException {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, EVENT_STREAM);
        int first = header(exchange, "Last-Event-Id").map(Integer::parseInt).orElse(0) + 1;
        OutputStream output = exchange.getOutputStream();
        for (int number = first; number <= 4; number++) {
            output.write(event(number).getBytes(StandardCharsets.UTF_8));
            output.flush();
            if (truncate && number == 2) {
                output.write("id: 3\nda".getBytes(StandardCharsets.UTF_8));
                output.flush();
                IoUtils.safeClose(exchange.getConnection());
                return;
            }
        }
    }

    private static Optional<String> header(HttpServerExchange exchange, String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
    }

    @Override
    public void close() {
        hangingResponsesReleased.countDown();
        server.stop();
    }
}
