package org.sassafrastrail.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.undertow.server.HttpServerExchange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Tests the client against a server that writes the response in separate pieces. */
class UndertowHttpClientTest {

    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final long PAUSE_MILLISECONDS = 60;
    private static final Duration SILENCE = Duration.ofMillis(300);
    private static final int SILENT_CONNECTIONS = 4;
    private static final int RACING_REQUESTS = 20_000;
    private static final int MORE_THAN_SOCKET_BUFFERS_HOLD = 64 * 1024 * 1024;

    private final UndertowHttpClient client = new UndertowHttpClient(1);

    @BeforeEach
    void start() {
        client.start();
    }

    @AfterEach
    void stop() {
        client.stop();
    }

    @Test
    void readWaitsForChunkDataAfterChunkLength() throws Exception {
        assertThat(bodyOf(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                        "5\r\n",
                        "whole",
                        "\r\n",
                        "7\r\n",
                        " answer",
                        "\r\n0\r\n\r\n"))
                .isEqualTo("whole answer");
    }

    @Test
    void responseLargerThanBufferIsReadCompletely() throws Exception {
        String body = "x".repeat(20_000);
        assertThat(bodyOf("HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" + body))
                .isEqualTo(body);
    }

    /** Guards against ORDER: a chunk size that is no number was taken for that of the last chunk. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                CHUNKED + "5\r\nwhole\r\ngarbage\r\n\r\n7\r\n answer\r\n0\r\n\r\n",
                CHUNKED + "5\r\nwhole\r\n\r\n7\r\n answer\r\n0\r\n\r\n",
                CHUNKED + "5\r\nwhole answer\r\n0\r\n\r\n",
                CHUNKED + "5\r\nwhole\r\n0\r\ngarbage\r\n\r\n"
            })
    void garbledChunksAreNoEnd(String response) {
        assertThatThrownBy(() -> bodyOf(response)).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> bodyOf(response.split("(?<=whole)"))).isInstanceOf(IOException.class);
    }

    /** Guards against ORDER: chunks were not checked where the head names them in a way that only one of its readers knows. */
    @ParameterizedTest
    @ValueSource(strings = {"Transfer-Encoding:\r\n chunked\r\n", "Transfer-Encoding: gzip, chunked\r\n"})
    void responseWithUnclearFramingIsNone(String field) throws Exception {
        assertThat(resultOf("HTTP/1.1 200 OK\r\n" + field + "\r\n5\r\nwhole\r\ngarbage\r\n\r\n"))
                .isInstanceOf(HttpResult.NoResponse.class);
    }

    /** Guards against answers to another request: a response closed twice gave its connection to two requests at a time. */
    @Test
    void responseThatIsClosedTwiceReleasesItsConnectionOnce() throws Exception {
        try (SilencedServer server = new SilencedServer()) {
            HttpRequest request =
                    new HttpRequest("127.0.0.1", server.port(), "GET", "/", Map.of(), new byte[0], SILENCE, true);
            HttpResponse closedTwice = ((HttpResult.Responded) client.send(request)).response();
            assertThat(closedTwice.body().readAllBytes()).isEmpty();
            closedTwice.close();
            closedTwice.close();
            HttpResponse first = ((HttpResult.Responded) client.send(request)).response();
            HttpResponse second = ((HttpResult.Responded) client.send(request)).response();
            assertThat(server.open).hasSize(2);
            first.close();
            second.close();
        }
    }

    @Test
    void reusedConnectionIsCheckedAnew() throws Exception {
        try (SilencedServer server = new SilencedServer()) {
            HttpRequest head =
                    new HttpRequest("127.0.0.1", server.port(), "HEAD", "/", Map.of(), new byte[0], SILENCE, true);
            for (int count = 0; count < SILENT_CONNECTIONS; count++) {
                try (HttpResponse response = ((HttpResult.Responded) client.send(head)).response()) {
                    assertThat(response.body().readAllBytes()).isEmpty();
                }
            }
        }
    }

    /** A server that stops reading must not block the sending thread, such as a store watch, for ever. */
    @Test
    @Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void requestTimesOutWhenServerStopsReading() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            byte[] body = new byte[MORE_THAN_SOCKET_BUFFERS_HOLD];
            HttpResult result = client.send(new HttpRequest(
                    "127.0.0.1", server.getLocalPort(), "POST", "/", Map.of(), body, Duration.ofMillis(500), false));
            assertThat(result).isInstanceOf(HttpResult.NoResponse.class);
        }
    }

    /** Guards against a race: the caller's thread and the I/O thread wrote the same request, and the loser took it for lost. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void everyRequestToSoundServerGetsItsResponse() throws Exception {
        HttpServerService server = new HttpServerService("127.0.0.1", 0, HttpServerExchange::endExchange);
        server.start();
        try {
            for (int number = 0; number < RACING_REQUESTS; number++) {
                HttpResult result = client.send(new HttpRequest(
                        "127.0.0.1", server.port(), "POST", "/", Map.of(), new byte[number % 2], TIMEOUT, true));
                assertThat(result).as("request %d", number).isInstanceOf(HttpResult.Responded.class);
                try (HttpResponse response = ((HttpResult.Responded) result).response()) {
                    assertThat(response.body().readAllBytes()).isEmpty();
                }
            }
        } finally {
            server.stop();
        }
    }

    /** Guards against CONFIG: after all connections went silent at once, each call waited for another old one. */
    @Test
    @Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void connectionThatWentSilentMakesIdleOnesSuspect() throws Exception {
        try (SilencedServer server = new SilencedServer()) {
            HttpRequest request =
                    new HttpRequest("127.0.0.1", server.port(), "GET", "/", Map.of(), new byte[0], SILENCE, true);
            List<HttpResult> open = Stream.generate(() -> client.send(request))
                    .limit(SILENT_CONNECTIONS)
                    .toList();
            for (HttpResult result : open) {
                try (HttpResponse response = ((HttpResult.Responded) result).response()) {
                    assertThat(response.body().readAllBytes()).isEmpty();
                }
            }
            server.silenceOpenConnections();
            assertThat(client.send(request)).isInstanceOf(HttpResult.NoResponse.class);
            assertThat(client.send(request)).isInstanceOf(HttpResult.Responded.class);
        }
    }

    /** A server whose open connections can go silent, while new ones are served. */
    private static final class SilencedServer implements AutoCloseable {

        private final ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        SilencedServer() throws IOException {
            CompletableFuture.runAsync(this::accept, command -> new Thread(command).start());
        }

        int port() {
            return server.getLocalPort();
        }

        void silenceOpenConnections() {
            silent.addAll(open);
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    open.add(socket);
                    CompletableFuture.runAsync(() -> respond(socket), command -> new Thread(command).start());
                }
            } catch (IOException closed) {
                // The test has ended.
            }
        }

        private void respond(Socket socket) {
            try (socket) {
                BufferedReader requests =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                for (String line = requests.readLine(); line != null; line = requests.readLine()) {
                    if (line.isEmpty() && !silent.contains(socket)) {
                        socket.getOutputStream()
                                .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
                    }
                }
            } catch (IOException closed) {
                // The client closed the connection.
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private String bodyOf(String... pieces) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Void> served = CompletableFuture.runAsync(() -> serve(server, pieces));
            HttpResult result = client.send(HttpRequest.get("127.0.0.1", server.getLocalPort(), "/", TIMEOUT));
            try (HttpResponse response = ((HttpResult.Responded) result).response()) {
                return new String(response.body().readAllBytes(), StandardCharsets.UTF_8);
            } finally {
                served.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            }
        }
    }

    private HttpResult resultOf(String response) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Void> served = CompletableFuture.runAsync(() -> serve(server, response));
            HttpResult result = client.send(HttpRequest.get("127.0.0.1", server.getLocalPort(), "/", TIMEOUT));
            served.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            return result;
        }
    }

    private static void serve(ServerSocket server, String... pieces) {
        try (Socket socket = server.accept()) {
            BufferedReader request =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String line = request.readLine();
            while (line != null && !line.isEmpty()) {
                line = request.readLine();
            }
            OutputStream output = socket.getOutputStream();
            for (String piece : pieces) {
                output.write(piece.getBytes(StandardCharsets.UTF_8));
                output.flush();
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLISECONDS);
            }
        } catch (IOException | InterruptedException failure) {
            throw new IllegalStateException(failure);
        }
    }
}
