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

/** Reads operators' pages from routers. */
final class RouterPages {

    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final byte[] NOTHING = {};

    private final HttpClient caller;
    private final OperatorSettings settings;

    RouterPages(HttpClient caller, OperatorSettings settings) {
        this.caller = caller;
        this.settings = settings;
    }

    /** A page of one router. */
    record Page(String router, int status, String text) {

        private static final int OK = 200;

        boolean found() {
            return status == OK;
        }
    }

    /** Reads a page from every router; the pages of routers that do not answer are empty. */
    List<Optional<Page>> readAll(String path) {
        return settings.routers().stream().map(router -> read(router, path)).toList();
    }

    private Optional<Page> read(String router, String path) {
        HostAndPort place = HostAndPort.parse(router);
        HttpRequest call = new HttpRequest(
                place.host(),
                place.port(),
                "GET",
                path,
                Map.of(DispatchHeaders.LINK_KEY, settings.linkKey()),
                NOTHING,
                PATIENCE,
                true);
        return caller.send(call) instanceof HttpResult.Responded answered
                ? gather(router, answered.response())
                : Optional.empty();
    }

    private static Optional<Page> gather(String router, HttpResponse answer) {
        try (answer) {
            String text = new String(answer.body().readAllBytes(), StandardCharsets.UTF_8);
            return Optional.of(new Page(router, answer.status(), text));
        } catch (IOException cut) {
            return Optional.empty();
        }
    }
}
