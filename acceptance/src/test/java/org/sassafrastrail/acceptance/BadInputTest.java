package org.sassafrastrail.acceptance;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.sassafrastrail.acceptance.process.HttpProbe;
import org.sassafrastrail.acceptance.process.ProcessFleet;

import static org.assertj.core.api.Assertions.assertThat;

/** Bad input gets a typed answer and disturbs nothing else; operators' commands say what they did. */
class BadInputTest {

    private static final String BOOK = "/services/desk/book";
    private static final int LARGEST_BODY = 100_000;
    private static final int SLOW_CALLERS = 150;
    private static final String PROMISED_BYTES = "Content-Length: 50\r\n\r\n{";

    private static ProcessFleet fleet;

    @BeforeAll
    static void startFleet() {
        fleet = new ProcessFleet(5);
    }

    @AfterAll
    static void stopFleet() {
        fleet.close();
    }

    private static HttpProbe.Answer post(String path, String body, Map<String, String> headers) {
        return fleet.http().post(fleet.routerPort(0), path, body, headers);
    }

    private static void assertRefused(HttpProbe.Answer answer, int status, String reason) {
        assertThat(answer.status()).isEqualTo(status);
        assertThat(answer.body()).contains("urn:sassafrastrail:problem:not-run:" + reason);
        assertStillServes();
    }

    private static void assertStillServes() {
        String identifier = "fine" + System.nanoTime();
        assertThat(fleet.http()
                        .book(fleet.routerPort(0), identifier, false, 8000)
                        .join()
                        .isWhole())
                .isTrue();
        assertThat(fleet.runs(identifier)).isEqualTo(1);
    }

    private static Map<String, String> guestWith(String name, String value) {
        Map<String, String> headers = new HashMap<>(HttpProbe.guest());
        headers.put(name, value);
        return headers;
    }

    @Test
    void anUnknownAccount() {
        assertRefused(post(BOOK, "{}", Map.of("Authorization", "Bearer guess")), 401, "unknown-account");
        assertRefused(post(BOOK, "{}", Map.of()), 401, "unknown-account");
    }

    @Test
    void anUnknownService() {
        assertRefused(post("/services/none/book", "{}", HttpProbe.guest()), 404, "unknown-target");
    }

    @Test
    void aPathThatIsNoRequest() {
        assertRefused(post("/elsewhere", "{}", HttpProbe.guest()), 400, "malformed-request");
    }

    @Test
    void headersOutOfRange() {
        assertRefused(post(BOOK, "{}", guestWith("X-Cost-Hint", "many")), 400, "malformed-request");
        assertRefused(post(BOOK, "{}", guestWith("X-Cost-Hint", "9223372036854775807")), 400, "malformed-request");
        assertRefused(
                post(BOOK, "{}", guestWith("X-Patience-Milliseconds", "9223372036854775807")),
                400,
                "malformed-request");
        assertRefused(post(BOOK, "{}", guestWith("Idempotency-Key", "a b")), 400, "malformed-request");
    }

    @Test
    void anOversizedBody() {
        assertRefused(post(BOOK, "x".repeat(LARGEST_BODY + 1), HttpProbe.guest()), 413, "body-too-large");
    }

    @Test
    void bytesThatAreNoHttp() throws IOException {
        try (Socket socket = new Socket(ProcessFleet.HOST, fleet.routerPort(0))) {
            socket.getOutputStream().write("\u0000\u0001 nonsense\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            socket.shutdownOutput();
            socket.getInputStream().readAllBytes();
        }
        assertStillServes();
    }

    @Test
    void callersThatSendSlowlyHoldUpNobody() throws IOException {
        List<Socket> slow = new ArrayList<>();
        try {
            for (int caller = 0; caller < SLOW_CALLERS; caller++) {
                Socket socket = new Socket(ProcessFleet.HOST, fleet.routerPort(0));
                slow.add(socket);
                socket.getOutputStream()
                        .write(("POST " + BOOK + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + ProcessFleet.KEY
                                        + "\r\n" + PROMISED_BYTES)
                                .getBytes(StandardCharsets.UTF_8));
            }
            assertStillServes();
        } finally {
            for (Socket socket : slow) {
                socket.close();
            }
        }
    }

    @Test
    void aReaderThatDoesNotReadHoldsUpNobody() throws IOException {
        List<Socket> stuck = new ArrayList<>();
        try {
            for (int caller = 0; caller < 2; caller++) {
                Socket socket = new Socket(ProcessFleet.HOST, fleet.routerPort(1));
                socket.setReceiveBufferSize(1024);
                stuck.add(socket);
                String body = "{\"id\":\"stuck\",\"tokens\":2000}";
                socket.getOutputStream()
                        .write(("POST /models/legend/tell HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                                        + ProcessFleet.KEY + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.UTF_8));
            }
            List<CompletableFuture<HttpProbe.Answer>> others = IntStream.range(0, 4)
                    .mapToObj(number -> fleet.http().book(fleet.routerPort(1), "beside" + number, false, 8000))
                    .toList();
            assertThat(others.stream().map(CompletableFuture::join)).allMatch(HttpProbe.Answer::isWhole);
        } finally {
            for (Socket socket : stuck) {
                socket.close();
            }
        }
    }

    @Test
    void refusalsAreCountedByReason() {
        post("/services/none/book", "{}", HttpProbe.guest());

        String metrics = fleet.http()
                .get(fleet.routerPort(0), "/operator/metrics", Map.of("X-Sassafrastrail-Link-Key", "test-link-key"));
        assertThat(metrics).contains("refusals.unknown_target");
        assertThat(fleet.http().get(fleet.routerPort(0), "/operator/metrics", Map.of()))
                .contains("wrong-key");
    }

    @Test
    void operatorsSeeStatusAndExplanations() {
        String identifier = "explained" + System.nanoTime();
        fleet.http().book(fleet.routerPort(0), identifier, false, 8000).join();

        assertThat(fleet.command("status")).contains("router router-0", "sidecar desk-0", "revision 1");
        assertThat(fleet.command("status", "--json")).contains("\"sidecars\":[");
        assertThat(fleet.command("explain", "no-such-request")).contains("no router has a record of this request");
        assertThat(fleet.startCommand("domain", "sideways", "d0").exitCode()).isEqualTo(2);
        assertThat(fleet.startCommand("rules", "check", "/no/such/file").exitCode())
                .isEqualTo(1);
        assertThat(fleet.command("rules", "apply", fleet.rules(ProcessFleet.text())))
                .contains("nothing changes");
        assertThat(fleet.command("rules", "history")).contains("1 ", "tester");
    }
}
