package org.sassafrastrail.http;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against UNASKED: text inside a request whose end has no single reading ran as a request. */
class HttpServerServiceTest {

    private static final String LINE = "POST /%s HTTP/1.1\r\nHost: a\r\n";
    private static final String INSIDE =
            LINE.formatted("inside") + "Connection: close\r\nContent-Length: 6\r\n\r\nbooked";
    private static final int READ_TIMEOUT_MILLISECONDS = 5_000;

    private final List<String> handled = new CopyOnWriteArrayList<>();
    private final HttpServerService server = new HttpServerService("127.0.0.1", 0, this::receive);

    private void receive(HttpServerExchange exchange) {
        exchange.getRequestReceiver()
                .receiveFullString(
                        (read, body) -> {
                            handled.add(read.getRequestPath() + " " + body);
                            read.endExchange();
                        },
                        (lost, failure) -> {
                            lost.setStatusCode(StatusCodes.BAD_REQUEST);
                            lost.endExchange();
                        });
    }

    @BeforeEach
    void start() {
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    /** Sends text and waits until the server has closed the connection. */
    private void send(String text) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", server.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            assertThat(socket.getInputStream().readAllBytes()).isNotNull();
        } catch (SocketException reset) {
            assertThat(reset).hasMessageContaining("reset");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n5\r\nhelloX0\r\n\r\n",
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Content-Length : 400\r\n\r\n",
                "Transfer-Encoding : chunked\r\n\r\n",
                "X: a\rTransfer-Encoding: chunked\r\n\r\n"
            })
    void nothingRunsFromUnsoundRequestOn(String unsound) throws IOException {
        send(LINE.formatted("outer") + unsound + INSIDE);
        assertThat(handled).isEmpty();
    }

    @Test
    void soundRequestsRun() throws IOException {
        send(LINE.formatted("outer") + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" + INSIDE);
        assertThat(handled).containsExactly("/outer hello", "/inside booked");
    }
}
