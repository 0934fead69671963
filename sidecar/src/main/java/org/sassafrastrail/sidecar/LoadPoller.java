package org.sassafrastrail.sidecar;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.sassafrastrail.http.HttpClient;
import org.sassafrastrail.http.HttpRequest;
import org.sassafrastrail.http.HttpResponse;
import org.sassafrastrail.http.HttpResult;
import org.sassafrastrail.sidecar.core.SidecarEvent;

/** Asks the upstream for its load. A service that reports no load is taken to be idle and warm. */
final class LoadPoller {

    private static final Duration PATIENCE = Duration.ofSeconds(1);
    private static final int OK = 200;
    private static final SidecarEvent NOTHING_REPORTED = new SidecarEvent.LoadReported(1, 0, false);

    private final SidecarSettings settings;
    private final HttpClient caller;
    private final Consumer<SidecarEvent> control;
    private final ObjectMapper mapper = new ObjectMapper();

    LoadPoller(SidecarSettings settings, HttpClient caller, Consumer<SidecarEvent> control) {
        this.settings = settings;
        this.caller = caller;
        this.control = control;
    }

    void poll() {
        HttpResult result =
                caller.send(HttpRequest.get(settings.upstreamHost(), settings.upstreamPort(), "/load", PATIENCE));
        Optional<SidecarEvent> report =
                result instanceof HttpResult.Responded answered ? report(answered.response()) : Optional.empty();
        control.accept(report.orElseGet(SidecarEvent.LoadUnavailable::new));
    }

    private Optional<SidecarEvent> report(HttpResponse answer) {
        try (answer) {
            byte[] body = answer.body().readAllBytes();
            return Optional.of(answer.status() == OK ? parse(mapper.readTree(body)) : NOTHING_REPORTED);
        } catch (IOException cut) {
            return Optional.empty();
        }
    }

    private static SidecarEvent parse(JsonNode load) {
        return new SidecarEvent.LoadReported(
                load.path("incarnation").asLong(1),
                load.path("running").asInt(0),
                load.path("cold").asBoolean(false));
    }
}
