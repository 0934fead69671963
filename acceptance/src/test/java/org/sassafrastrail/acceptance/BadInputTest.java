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
import org.sassafrastrail.acceptance.process.ProcessFleet;
import org.sassafrastrail.acceptance.process.TestHttpClient;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that invalid input gets a typed error response and does not affect other requests, and that operator commands
 * report their results.
 */
class BadInputTest {

    private static final String BOOKING_PATH = "/services/desk/book";
    private static final int MAXIMUM_BODY_BYTES = 100_000;
    private static final int SLOW_SENDERS = 150;
    private static final String INCOMPLETE_BODY = "Content-Length: 50\r\n\r\n{";

    private static ProcessFleet fleet;

    @BeforeAll
    static void startFleet() {
        fleet = new ProcessFleet(5);
    }

    @AfterAll
    static void stopFleet() {
        fleet.close();
    }

    private static TestHttpClient.Response post(String path, String body, Map<String, String> headers) {
        return fleet.http().post(fleet.routerPort(0), path, body, headers);
    }

    private static void assertRefused(TestHttpClient.Response response, int status, String reason) {
        assertThat(response.status()).isEqualTo(status);
        assertThat(response.body()).contains("urn:sassafrastrail:problem:not-run:" + reason);
        assertStillServes();
    }

    private static void assertStillServes() {
        String identifier = "fine" + System.nanoTime();
        assertThat(fleet.http()
                        .sendBooking(fleet.routerPort(0), identifier, false, 8000)
                        .join()
                        .isOk())
                .isTrue();
        assertThat(fleet.runCount(identifier)).isEqualTo(1);
    }

    private static Map<String, String> guestHeadersWith(String name, String value) {
        Map<String, String> headers = new HashMap<>(TestHttpClient.guestHeaders());
        headers.put(name, value);
        return headers;
    }

    @Test
    void unknownAccountIsRefused() {
        assertRefused(post(BOOKING_PATH, "{}", Map.of("Authorization", "Bearer guess")), 401, "unknown-account");
        assertRefused(post(BOOKING_PATH, "{}", Map.of()), 401, "unknown-account");
    }

    @Test
    void unknownServiceIsRefused() {
        assertRefused(post("/services/none/book", "{}", TestHttpClient.guestHeaders()), 404, "unknown-target");
    }

    @Test
    void unknownPathIsRefused() {
        assertRefused(post("/elsewhere", "{}", TestHttpClient.guestHeaders()), 400, "malformed-request");
    }

    @Test
    void headersOutOfRangeAreRefused() {
        assertRefused(post(BOOKING_PATH, "{}", guestHeadersWith("X-Cost-Hint", "many")), 400, "malformed-request");
        assertRefused(
                post(BOOKING_PATH, "{}", guestHeadersWith("X-Cost-Hint", "9223372036854775807")),
                400,
                "malformed-request");
        assertRefused(
                post(BOOKING_PATH, "{}", guestHeadersWith("X-Patience-Milliseconds", "9223372036854775807")),
                400,
                "malformed-request");
        assertRefused(post(BOOKING_PATH, "{}", guestHeadersWith("Idempotency-Key", "a b")), 400, "malformed-request");
    }

    @Test
    void oversizedBodyIsRefused() {
        assertRefused(
                post(BOOKING_PATH, "x".repeat(MAXIMUM_BODY_BYTES + 1), TestHttpClient.guestHeaders()),
                413,
                "body-too-large");
    }

    @Test
    void nonHttpBytesDoNotDisturbOtherCallers() throws IOException {
        try (Socket socket = new Socket(ProcessFleet.HOST, fleet.routerPort(0))) {
            socket.getOutputStream().write("\u0000\u0001 nonsense\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
            socket.shutdownOutput();
            socket.getInputStream().readAllBytes();
        }
        assertStillServes();
    }

    @Test
    void slowSendersDoNotDelayOtherCallers() throws IOException {
        List<Socket> slowSenders = new ArrayList<>();
        try {
            for (int caller = 0; caller < SLOW_SENDERS; caller++) {
                Socket socket = new Socket(ProcessFleet.HOST, fleet.routerPort(0));
                slowSenders.add(socket);
                socket.getOutputStream()
                        .write(("POST " + BOOKING_PATH + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                                        + ProcessFleet.CLIENT_KEY + "\r\n" + INCOMPLETE_BODY)
                                .getBytes(StandardCharsets.UTF_8));
            }
            assertStillServes();
        } finally {
            for (Socket socket : slowSenders) {
                socket.close();
            }
        }
    }

    @Test
    void stalledReadersDoNotDelayOtherCallers() throws IOException {
        List<Socket> stalled = new ArrayList<>();
        try {
            for (int caller = 0; caller < 2; caller++) {
                Socket socket = new Socket(ProcessFleet.HOST, fleet.routerPort(1));
                socket.setReceiveBufferSize(1024);
                stalled.add(socket);
                String body = "{\"id\":\"stuck\",\"tokens\":2000}";
                socket.getOutputStream()
                        .write(("POST /models/legend/tell HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                                        + ProcessFleet.CLIENT_KEY + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
                                        + body)
                                .getBytes(StandardCharsets.UTF_8));
            }
            List<CompletableFuture<TestHttpClient.Response>> others = IntStream.range(0, 4)
                    .mapToObj(number -> fleet.http().sendBooking(fleet.routerPort(1), "beside" + number, false, 8000))
                    .toList();
            assertThat(others.stream().map(CompletableFuture::join)).allMatch(TestHttpClient.Response::isOk);
        } finally {
            for (Socket socket : stalled) {
                socket.close();
            }
        }
    }

    @Test
    void refusalsAreCountedByReason() {
        post("/services/none/book", "{}", TestHttpClient.guestHeaders());

        String metrics = fleet.http()
                .get(fleet.routerPort(0), "/operator/metrics", Map.of("X-Sassafrastrail-Link-Key", "test-link-key"));
        assertThat(metrics).contains("refusals.unknown_target");
        assertThat(fleet.http().get(fleet.routerPort(0), "/operator/metrics", Map.of()))
                .contains("wrong-key");
    }

    @Test
    void operatorCommandsReportStatusAndErrors() {
        String identifier = "explained" + System.nanoTime();
        fleet.http().sendBooking(fleet.routerPort(0), identifier, false, 8000).join();

        assertThat(fleet.runCommand("status")).contains("router router-0", "sidecar desk-0", "revision 1");
        assertThat(fleet.runCommand("status", "--json")).contains("\"sidecars\":[");
        assertThat(fleet.runCommand("explain", "no-such-request")).contains("no router has a record of this request");
        assertThat(fleet.startCommand("domain", "sideways", "d0").exitCode()).isEqualTo(2);
        assertThat(fleet.startCommand("rules", "check", "/no/such/file").exitCode())
                .isEqualTo(1);
        assertThat(fleet.runCommand("rules", "apply", fleet.writeRulesFile(ProcessFleet.defaultRules())))
                .contains("nothing changes");
        assertThat(fleet.runCommand("rules", "history")).contains("1 ", "tester");
    }
}
