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

/**
 * Polls the upstream for its load. An upstream that responds with a status other than 200 provides no load reports and
 * is treated as idle and warm.
 */
final class LoadPoller {

    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int OK = 200;
    private static final SidecarEvent IDLE_AND_WARM = new SidecarEvent.LoadReported(1, 0, false);

    private final SidecarSettings settings;
    private final HttpClient client;
    private final Consumer<SidecarEvent> control;
    private final ObjectMapper mapper = new ObjectMapper();

    LoadPoller(SidecarSettings settings, HttpClient client, Consumer<SidecarEvent> control) {
        this.settings = settings;
        this.client = client;
        this.control = control;
    }

    void poll() {
        HttpResult result =
                client.send(HttpRequest.get(settings.upstreamHost(), settings.upstreamPort(), "/load", TIMEOUT));
        Optional<SidecarEvent> report =
                result instanceof HttpResult.Responded responded ? report(responded.response()) : Optional.empty();
        control.accept(report.orElseGet(SidecarEvent.LoadUnavailable::new));
    }

    private Optional<SidecarEvent> report(HttpResponse response) {
        try (response) {
            byte[] body = response.body().readAllBytes();
            return Optional.of(response.status() == OK ? parse(mapper.readTree(body)) : IDLE_AND_WARM);
        } catch (IOException unreadable) {
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
