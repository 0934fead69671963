package org.sassafrastrail.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.Undertow;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the limit on callers' connections. */
@Timeout(30)
class OpenConnectionsTest {

    private static final int LIMIT = 3;
    private static final int TIMEOUT_MILLISECONDS = 10_000;
    private static final int QUIET_MILLISECONDS = 200;

    private final AtomicInteger closedOverLimit = new AtomicInteger();
    private final AtomicLong numbers = new AtomicLong();
    private final OpenConnections connections =
            new OpenConnections(LIMIT, closedOverLimit::incrementAndGet, closed -> {});
    private final Undertow server = Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setIoThreads(1)
            .setWorkerThreads(1)
            .setHandler(exchange -> connections.requestStarted(exchange, numbers.incrementAndGet()))
            .build();

    @BeforeEach
    void start() {
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    private Socket connect() throws IOException {
        InetSocketAddress address =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        Socket caller = new Socket("127.0.0.1", address.getPort());
        caller.setSoTimeout(TIMEOUT_MILLISECONDS);
        return caller;
    }

    private static String request(Socket caller) throws IOException {
        caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: here\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        byte[] response = new byte[1024];
        return new String(response, 0, Math.max(0, caller.getInputStream().read(response)), StandardCharsets.UTF_8);
    }

    /** Guards against RECOVER: retrying callers used up the file descriptors, and no connection was accepted for 16 s. */
    @Test
    void newConnectionOverLimitClosesLongestIdleConnection() throws IOException {
        try (Socket first = connect();
                Socket second = connect();
                Socket third = connect();
                Socket fourth = connect()) {
            assertThat(request(first)).startsWith("HTTP/1.1 200");
            assertThat(request(second)).startsWith("HTTP/1.1 200");
            assertThat(request(third)).startsWith("HTTP/1.1 200");
            assertThat(request(first)).startsWith("HTTP/1.1 200");
            assertThat(request(fourth)).startsWith("HTTP/1.1 200");
            assertThat(second.getInputStream().read()).isEqualTo(-1);
            assertThat(request(first)).startsWith("HTTP/1.1 200");
            assertThat(request(third)).startsWith("HTTP/1.1 200");
            assertThat(closedOverLimit).hasValue(1);
        }
    }

    @Test
    void connectionsStayOpenUpToLimit() throws IOException {
        try (Socket first = connect();
                Socket second = connect();
                Socket third = connect()) {
            request(first);
            request(second);
            request(third);
            first.setSoTimeout(QUIET_MILLISECONDS);
            assertThat(request(first)).startsWith("HTTP/1.1 200");
            assertThat(closedOverLimit).hasValue(0);
        }
    }
}
