package org.sassafrastrail.operator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.sassafrastrail.http.HttpClient;
import org.sassafrastrail.http.HttpRequest;
import org.sassafrastrail.http.HttpResponse;
import org.sassafrastrail.http.HttpResult;
import org.sassafrastrail.messages.DispatchHeaders;
import org.sassafrastrail.runtime.HostAndPort;

/** HTTP client for the operators' pages of routers. */
final class RouterPageClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final byte[] EMPTY_BODY = {};

    private final HttpClient client;
    private final OperatorSettings settings;

    RouterPageClient(HttpClient client, OperatorSettings settings) {
        this.client = client;
        this.settings = settings;
    }

    /** The response of one router. */
    record Page(String router, int status, String text) {

        private static final int OK = 200;

        boolean isOk() {
            return status == OK;
        }
    }

    /** Reads a page from every router. The result is empty for a router that does not respond. */
    List<Optional<Page>> readAll(String path) {
        return settings.routers().stream().map(router -> read(router, path)).toList();
    }

    private Optional<Page> read(String router, String path) {
        HostAndPort address = HostAndPort.parse(router);
        HttpRequest request = new HttpRequest(
                address.host(),
                address.port(),
                "GET",
                path,
                Map.of(DispatchHeaders.LINK_KEY, settings.linkKey()),
                EMPTY_BODY,
                TIMEOUT,
                true);
        return client.send(request) instanceof HttpResult.Responded responded
                ? readFully(router, responded.response())
                : Optional.empty();
    }

    private static Optional<Page> readFully(String router, HttpResponse response) {
        try (response) {
            String text = new String(response.body().readAllBytes(), StandardCharsets.UTF_8);
            return Optional.of(new Page(router, response.status(), text));
        } catch (IOException truncated) {
            return Optional.empty();
        }
    }
}
