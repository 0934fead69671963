package org.sassafrastrail.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

import io.undertow.server.HttpServerExchange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests how the end of a response body is marked on a connection that closes after it. */
class ResponseFramingTest {

    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    private static final String CLOSING = "HTTP/1.1\r\nHost: here\r\nConnection: close\r\n\r\n";
    private static final String HTTP_1_0 = "HTTP/1.0\r\nHost: here\r\n\r\n";

    private final HttpServerService server = new HttpServerService("127.0.0.1", 0, this::handle);

    @BeforeEach
    void start() {
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    private void handle(HttpServerExchange exchange) {
        exchange.dispatch(this::respond);
    }

    private void respond(HttpServerExchange exchange) throws IOException {
        byte[] part = "part".getBytes(StandardCharsets.UTF_8);
        boolean lengthKnown = exchange.getRequestPath().equals("/known");
        ResponseFraming.frame(exchange, lengthKnown ? OptionalLong.of(part.length) : OptionalLong.empty());
        exchange.startBlocking();
        exchange.getOutputStream().write(part);
        exchange.getOutputStream().flush();
        if (exchange.getRequestPath().equals("/aborted")) {
            ResponseFraming.abort(exchange);
        } else {
            exchange.endExchange();
        }
    }

    /** Returns what is received until the connection ends. Throws a {@link SocketException} if it is reset. */
    private String receive(String requestLineAndHead) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", server.port())) {
            socket.getOutputStream().write(requestLineAndHead.getBytes(StandardCharsets.UTF_8));
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            socket.getInputStream().transferTo(received);
            return received.toString(StandardCharsets.UTF_8);
        }
    }

    @Test
    void completeResponseHasLastChunk() throws IOException {
        assertThat(receive("GET /complete " + CLOSING)).endsWith("part" + LAST_CHUNK);
    }

    @Test
    void abortedResponseHasChunksAndNoLastChunk() throws IOException {
        assertThat(receive("GET /aborted " + CLOSING))
                .contains("chunked", "part")
                .doesNotContain(LAST_CHUNK);
    }

    @Test
    void bodyOfKnownLengthHasLength() throws IOException {
        assertThat(receive("GET /known " + HTTP_1_0)).containsIgnoringCase("Content-Length: 4");
    }

    @Test
    void responseWithoutFramingEndsWithItsConnection() throws IOException {
        assertThat(receive("GET /complete " + HTTP_1_0))
                .doesNotContain("chunked")
                .endsWith("\r\n\r\npart");
    }

    @Test
    void abortedResponseWithoutFramingIsReset() {
        assertThatThrownBy(() -> receive("GET /aborted " + HTTP_1_0)).isInstanceOf(SocketException.class);
    }

    @Test
    void responseToHeadHasNoBody() throws IOException {
        assertThat(receive("HEAD /complete " + CLOSING)).doesNotContain("part").endsWith("\r\n\r\n");
    }
}
