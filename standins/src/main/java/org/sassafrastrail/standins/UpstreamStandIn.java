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

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.xnio.IoUtils;

/** An upstream as the platform runs them, which does what the first word of the path asks for. */
public final class UpstreamStandIn implements AutoCloseable {

    private static final HttpString RECEIPT = new HttpString("X-Response-Seal");

    private static final HttpString REQUEST = new HttpString("X-Request-Id");

    private final String identifier;
    private final Undertow server;
    private final List<ReceivedRequest> receivedRequests = new CopyOnWriteArrayList<>();
    private final CountDownLatch hangingResponsesReleased = new CountDownLatch(1);
    private final CountDownLatch clientDisconnected = new CountDownLatch(1);

    /**
     * Starts an upstream on a free port of the loopback address.
     *
     * @param identifier its identifier
     */
    public UpstreamStandIn(String identifier) {
        this.identifier = identifier;
        this.server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setIoThreads(1)
                .setWorkerThreads(8)
                .setHandler(new BlockingHandler(this::answer))
                .build();
        server.start();
    }

    /**
     * A request that reached the upstream.
     *
     * @param requestIdentifier the caller's identifier of it
     * @param pathAndQuery its path and query
     * @param body its body
     * @param account the account that it is for
     * @param expectedInstance the upstream that it is meant for
     * @param apiKey a caller's key that should not have come along
     * @param lastEventIdentifier the last event of the stream that it goes on with
     * @param deadlineMilliseconds how many milliseconds it has, -1 if it does not say
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
     * Returns where it listens.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    /**
     * Returns what reached it.
     *
     * @return the requests so far
     */
    public List<ReceivedRequest> receivedRequests() {
        return List.copyOf(receivedRequests);
    }

    /** Ends the answers that hang. */
    public void releaseHangingResponses() {
        hangingResponsesReleased.countDown();
    }

    /**
     * Waits until the reader of an answer that hangs goes away.
     *
     * @return whether one did
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean awaitClientDisconnect() throws InterruptedException {
        return clientDisconnected.await(5, TimeUnit.SECONDS);
    }

    private void answer(HttpServerExchange exchange) throws Exception {
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
                .put(REQUEST, header(exchange, "X-Request-Id").orElse(""))
                .put(RECEIPT, "receipt-of-" + identifier);
        String behaviour = exchange.getRequestPath().split("/")[2];
        switch (behaviour) {
            case "full" -> {
                exchange.getResponseHeaders().put(new HttpString("X-Not-Executed"), "1");
                exchange.setStatusCode(503);
            }
            case "foreign" -> {
                exchange.getResponseHeaders().put(REQUEST, "another");
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
            case "hang" -> hang(exchange, 200);
            case "slow" -> hang(exchange, 140);
            case "events" -> events(exchange, false);
            case "cut" -> events(exchange, header(exchange, "Last-Event-Id").isEmpty());
            default -> exchange.getResponseSender().send("done " + body);
        }
    }

    /** Sends a byte now and then, and so notices that nobody reads any more. */
    private void hang(HttpServerExchange exchange, int bytes) throws InterruptedException {
        try {
            OutputStream output = exchange.getOutputStream();
            for (int sent = 0; sent < bytes && !hangingResponsesReleased.await(25, TimeUnit.MILLISECONDS); sent++) {
                output.write(':');
                output.flush();
            }
        } catch (IOException gone) {
            clientDisconnected.countDown();
        }
    }

    private static void events(HttpServerExchange exchange, boolean cut) throws IOException {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        int first = header(exchange, "Last-Event-Id").map(Integer::parseInt).orElse(0) + 1;
        OutputStream output = exchange.getOutputStream();
        for (int number = first; number <= 4; number++) {
            output.write(("id: " + number + "\ndata: word" + number + "\n\n").getBytes(StandardCharsets.UTF_8));
            output.flush();
            if (cut && number == 2) {
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
