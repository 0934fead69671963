package org.sassafrastrail.load;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.sassafrastrail.http.HttpClient;
import org.sassafrastrail.http.HttpRequest;
import org.sassafrastrail.http.HttpResponse;
import org.sassafrastrail.http.HttpResult;
import org.sassafrastrail.runtime.HostAndPort;

/** Sends one request after another and checks that each answer is whole and its own. */
final class Caller {

    private static final AtomicLong NUMBERS = new AtomicLong();
    private static final int OK = 200;
    private static final String PROBLEM_PREFIX = "urn:sassafrastrail:problem:";

    private final LoadSettings settings;
    private final LoadSettings.CallerSettings caller;
    private final HttpClient http;
    private final String run;
    private final ObjectMapper mapper = new ObjectMapper();

    Caller(LoadSettings settings, LoadSettings.CallerSettings caller, HttpClient http, String run) {
        this.settings = settings;
        this.caller = caller;
        this.http = http;
        this.run = run;
    }

    CallOutcome call() {
        long number = NUMBERS.incrementAndGet();
        String identifier = run + "-" + number;
        String router =
                settings.routers().get((int) (number % settings.routers().size()));
        long started = System.nanoTime();
        HttpResult result = http.send(httpCall(router, identifier));
        if (result instanceof HttpResult.Responded answered) {
            return read(answered.response(), identifier, started);
        }
        return new CallOutcome(CallOutcome.Kind.BROKEN, "no-answer", 0, 0, 0, System.nanoTime() - started);
    }

    private HttpRequest httpCall(String router, String identifier) {
        HostAndPort place = HostAndPort.parse(router);
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + caller.key());
        headers.put("Content-Type", "application/json");
        headers.put("X-Cost-Hint", String.valueOf(caller.hint()));
        headers.put("X-Patience-Milliseconds", String.valueOf(settings.patienceMilliseconds()));
        if (caller.idempotencyKeys()) {
            headers.put("Idempotency-Key", identifier);
        }
        String body = "{\"id\":\"" + identifier + "\",\"tokens\":" + caller.tokens() + "}";
        return new HttpRequest(
                place.host(),
                place.port(),
                caller.method(),
                caller.path(),
                headers,
                body.getBytes(StandardCharsets.UTF_8),
                Duration.ofMillis(settings.patienceMilliseconds()),
                true);
    }

    private CallOutcome read(HttpResponse answer, String identifier, long started) {
        try (answer) {
            if (answer.status() != OK) {
                return problem(answer, started);
            }
            return caller.tokens() > 0 ? stream(answer, identifier, started) : whole(answer, identifier, started);
        } catch (IOException cut) {
            return new CallOutcome(CallOutcome.Kind.BROKEN, "cut-off", 0, 0, 0, System.nanoTime() - started);
        }
    }

    private CallOutcome problem(HttpResponse answer, long started) throws IOException {
        JsonNode problem = mapper.readTree(answer.body().readAllBytes());
        String type = problem.path("type").asText().replace(PROBLEM_PREFIX, "");
        CallOutcome.Kind kind = type.startsWith("not-run")
                ? CallOutcome.Kind.REFUSED
                : type.startsWith("outcome-unknown") ? CallOutcome.Kind.UNKNOWN : CallOutcome.Kind.BROKEN;
        return new CallOutcome(kind, type, 0, 0, 0, System.nanoTime() - started);
    }

    private CallOutcome whole(HttpResponse answer, String identifier, long started) throws IOException {
        JsonNode body = mapper.readTree(answer.body().readAllBytes());
        boolean own = body.path("id").asText().equals(identifier);
        long total = System.nanoTime() - started;
        return new CallOutcome(
                own ? CallOutcome.Kind.WHOLE : CallOutcome.Kind.BROKEN, own ? "" : "not-its-own", 1, total, 0, total);
    }

    private CallOutcome stream(HttpResponse answer, String identifier, long started) throws IOException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(answer.body(), StandardCharsets.UTF_8));
        long first = 0;
        long tokens = 0;
        String line = lines.readLine();
        String last = "";
        while (line != null) {
            first = tokens == 0 ? System.nanoTime() : first;
            tokens += line.contains("\"id\":\"" + identifier + "\"") ? 1 : 0;
            last = line;
            line = lines.readLine();
        }
        long ended = System.nanoTime();
        boolean isWhole = tokens == caller.tokens() && last.contains("\"done\":true");
        return new CallOutcome(
                isWhole ? CallOutcome.Kind.WHOLE : CallOutcome.Kind.BROKEN,
                isWhole ? "" : "incomplete",
                tokens,
                first - started,
                tokens > 1 ? (ended - first) / (tokens - 1) : 0,
                ended - started);
    }
}
