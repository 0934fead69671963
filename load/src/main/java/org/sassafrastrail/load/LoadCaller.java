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

/** Sends requests to the routers in turn and checks that each response is complete and belongs to its request. */
final class LoadCaller {

    private static final AtomicLong REQUEST_NUMBERS = new AtomicLong();
    private static final int OK = 200;
    private static final String PROBLEM_PREFIX = "urn:sassafrastrail:problem:";

    private final LoadSettings settings;
    private final LoadSettings.CallerSettings caller;
    private final HttpClient http;
    private final String runName;
    private final ObjectMapper mapper = new ObjectMapper();

    LoadCaller(LoadSettings settings, LoadSettings.CallerSettings caller, HttpClient http, String runName) {
        this.settings = settings;
        this.caller = caller;
        this.http = http;
        this.runName = runName;
    }

    RequestOutcome sendRequest() {
        long number = REQUEST_NUMBERS.incrementAndGet();
        String identifier = runName + "-" + number;
        String router =
                settings.routers().get((int) (number % settings.routers().size()));
        long started = System.nanoTime();
        HttpResult result = http.send(createRequest(router, identifier));
        if (result instanceof HttpResult.Responded responded) {
            return readResponse(responded.response(), identifier, started);
        }
        return new RequestOutcome(RequestOutcome.Kind.BROKEN, "no-answer", 0, 0, 0, System.nanoTime() - started);
    }

    private HttpRequest createRequest(String router, String identifier) {
        HostAndPort address = HostAndPort.parse(router);
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
                address.host(),
                address.port(),
                caller.method(),
                caller.path(),
                headers,
                body.getBytes(StandardCharsets.UTF_8),
                Duration.ofMillis(settings.patienceMilliseconds()),
                true);
    }

    private RequestOutcome readResponse(HttpResponse response, String identifier, long started) {
        try (response) {
            if (response.status() != OK) {
                return readProblem(response, started);
            }
            return caller.tokens() > 0
                    ? readTokenStream(response, identifier, started)
                    : readServiceResponse(response, identifier, started);
        } catch (IOException truncated) {
            return new RequestOutcome(RequestOutcome.Kind.BROKEN, "cut-off", 0, 0, 0, System.nanoTime() - started);
        }
    }

    private RequestOutcome readProblem(HttpResponse response, long started) throws IOException {
        JsonNode problem = mapper.readTree(response.body().readAllBytes());
        String type = problem.path("type").asText().replace(PROBLEM_PREFIX, "");
        RequestOutcome.Kind kind = type.startsWith("not-run")
                ? RequestOutcome.Kind.REFUSED
                : type.startsWith("outcome-unknown") ? RequestOutcome.Kind.UNKNOWN : RequestOutcome.Kind.BROKEN;
        return new RequestOutcome(kind, type, 0, 0, 0, System.nanoTime() - started);
    }

    private RequestOutcome readServiceResponse(HttpResponse response, String identifier, long started)
            throws IOException {
        JsonNode body = mapper.readTree(response.body().readAllBytes());
        boolean identifierMatches = body.path("id").asText().equals(identifier);
        long total = System.nanoTime() - started;
        return new RequestOutcome(
                identifierMatches ? RequestOutcome.Kind.WHOLE : RequestOutcome.Kind.BROKEN,
                identifierMatches ? "" : "not-its-own",
                1,
                total,
                0,
                total);
    }

    private RequestOutcome readTokenStream(HttpResponse response, String identifier, long started) throws IOException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8));
        long firstTokenTime = 0;
        long tokens = 0;
        String line = lines.readLine();
        String lastLine = "";
        while (line != null) {
            firstTokenTime = tokens == 0 ? System.nanoTime() : firstTokenTime;
            tokens += line.contains("\"id\":\"" + identifier + "\"") ? 1 : 0;
            lastLine = line;
            line = lines.readLine();
        }
        long ended = System.nanoTime();
        boolean isComplete = tokens == caller.tokens() && lastLine.contains("\"done\":true");
        return new RequestOutcome(
                isComplete ? RequestOutcome.Kind.WHOLE : RequestOutcome.Kind.BROKEN,
                isComplete ? "" : "incomplete",
                tokens,
                firstTokenTime - started,
                tokens > 1 ? (ended - firstTokenTime) / (tokens - 1) : 0,
                ended - started);
    }
}
