package org.sassafrastrail.router;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.http.HttpClient;
import org.sassafrastrail.http.HttpRequest;
import org.sassafrastrail.http.HttpResponse;
import org.sassafrastrail.http.HttpResult;
import org.sassafrastrail.http.ResponseFraming;
import org.sassafrastrail.messages.DispatchHeaders;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.AttemptOutcome;
import org.sassafrastrail.model.NotRunReason;
import org.sassafrastrail.model.UnknownReason;
import org.sassafrastrail.router.core.RouterAction;
import org.sassafrastrail.router.core.RouterEvent;
import org.sassafrastrail.runtime.Metrics;
import org.sassafrastrail.runtime.TrafficThreadPool;

/** Sends attempts to sidecars on traffic threads, and streams the responses to the callers. */
final class Dispatcher {

    private static final Duration RESPONSE_TIMEOUT = Duration.ofMinutes(2);
    private static final int COPY_BUFFER_BYTES = 8 * 1024;

    private final PendingCalls calls;
    private final SidecarLinks links;
    private final HttpClient httpClient;
    private final TrafficThreadPool threads;
    private final Consumer<RouterEvent> control;
    private final Metrics metrics;
    private final String linkKey;
    private final Map<AttemptIdentifier, Future<?>> running = new ConcurrentHashMap<>();

    Dispatcher(
            PendingCalls calls,
            SidecarLinks links,
            HttpClient httpClient,
            TrafficThreadPool threads,
            Consumer<RouterEvent> control,
            Metrics metrics,
            String linkKey) {
        this.calls = calls;
        this.links = links;
        this.httpClient = httpClient;
        this.threads = threads;
        this.control = control;
        this.metrics = metrics;
        this.linkKey = linkKey;
    }

    void dispatch(RouterAction.Dispatch dispatch) {
        running.put(dispatch.attempt(), threads.submit(() -> run(dispatch)));
    }

    void cancel(AttemptIdentifier attempt) {
        Optional.ofNullable(running.remove(attempt)).ifPresent(future -> future.cancel(true));
    }

    private void run(RouterAction.Dispatch dispatch) {
        AttemptIdentifier attempt = dispatch.attempt();
        Optional<PendingCall> call = calls.find(attempt.request());
        Optional<SidecarLinks.Endpoint> endpoint =
                links.endpoint(dispatch.grant().sidecar());
        if (call.isEmpty() || endpoint.isEmpty()) {
            control.accept(
                    new RouterEvent.AttemptEnded(attempt, new AttemptOutcome.NotRun(NotRunReason.NEVER_ARRIVED)));
        } else {
            control.accept(send(dispatch, call.get(), endpoint.get()));
        }
        running.remove(attempt);
    }

    private RouterEvent send(RouterAction.Dispatch dispatch, PendingCall call, SidecarLinks.Endpoint endpoint) {
        HttpResult result = httpClient.send(httpRequest(dispatch, call, endpoint));
        if (result instanceof HttpResult.Responded responded) {
            try (HttpResponse response = responded.response()) {
                return toEvent(dispatch, call, response);
            }
        }
        return result instanceof HttpResult.NotSent
                ? new RouterEvent.AttemptEnded(
                        dispatch.attempt(), new AttemptOutcome.NotRun(NotRunReason.NEVER_ARRIVED))
                : new RouterEvent.AttemptConnectionLost(dispatch.attempt());
    }

    private HttpRequest httpRequest(RouterAction.Dispatch dispatch, PendingCall call, SidecarLinks.Endpoint endpoint) {
        Map<String, String> headers = new HashMap<>();
        headers.put(DispatchHeaders.LINK_KEY, linkKey);
        headers.put(DispatchHeaders.REQUEST, dispatch.attempt().request().value());
        headers.put(DispatchHeaders.ATTEMPT, String.valueOf(dispatch.attempt().number()));
        headers.put(
                DispatchHeaders.GRANT_INCARNATION,
                String.valueOf(dispatch.grant().incarnation().value()));
        headers.put(
                DispatchHeaders.GRANT_SEQUENCE, String.valueOf(dispatch.grant().sequence()));
        headers.put(DispatchHeaders.METHOD, call.method());
        headers.put(DispatchHeaders.PATH, call.path());
        headers.put(DispatchHeaders.HINT, String.valueOf(dispatch.request().hint()));
        headers.put(DispatchHeaders.ROUTE, dispatch.request().route());
        call.contentType().ifPresent(type -> headers.put("Content-Type", type));
        return new HttpRequest(
                endpoint.host(), endpoint.port(), "POST", "/dispatch", headers, call.body(), RESPONSE_TIMEOUT, true);
    }

    private RouterEvent toEvent(RouterAction.Dispatch dispatch, PendingCall call, HttpResponse response) {
        AttemptIdentifier attempt = dispatch.attempt();
        String outcome = response.header(DispatchHeaders.OUTCOME).orElse("");
        return switch (outcome) {
            case DispatchHeaders.OUTCOME_ANSWERED -> forwardOrFail(dispatch, call, response);
            case DispatchHeaders.OUTCOME_NOT_RUN -> new RouterEvent.AttemptEnded(
                    attempt, new AttemptOutcome.NotRun(NotRunReason.valueOf(reason(response))));
            case DispatchHeaders.OUTCOME_UNKNOWN -> new RouterEvent.AttemptEnded(
                    attempt, new AttemptOutcome.Unknown(UnknownReason.valueOf(reason(response))));
            default -> new RouterEvent.AttemptConnectionLost(attempt);
        };
    }

    private static String reason(HttpResponse response) {
        drain(response);
        return response.header(DispatchHeaders.REASON).orElseThrow();
    }

    /** Reads a short body to its end, so that the connection can be reused. */
    private static void drain(HttpResponse response) {
        try {
            response.body().readAllBytes();
        } catch (IOException aborted) {
            // The connection is closed with the response.
        }
    }

    private RouterEvent forwardOrFail(RouterAction.Dispatch dispatch, PendingCall call, HttpResponse response) {
        boolean failed = response.status() >= StatusCodes.INTERNAL_SERVER_ERROR;
        if (failed && dispatch.request().idempotent()) {
            drain(response);
            return new RouterEvent.AttemptEnded(
                    dispatch.attempt(), new AttemptOutcome.UpstreamFailed(response.status()));
        }
        if (!call.claim()) {
            return new RouterEvent.AttemptEnded(dispatch.attempt(), new AttemptOutcome.Truncated(0));
        }
        return new RouterEvent.AttemptEnded(dispatch.attempt(), forwardResponse(dispatch, call, response));
    }

    private AttemptOutcome forwardResponse(RouterAction.Dispatch dispatch, PendingCall call, HttpResponse response) {
        HttpServerExchange exchange = call.exchange();
        Duration firstByte = Duration.ofNanos(call.ageNanoseconds());
        metrics.recordDuration("first-byte", dispatch.request().account().toString(), firstByte.toNanos());
        control.accept(new RouterEvent.ResponseStarted(dispatch.attempt()));
        exchange.setStatusCode(response.status());
        response.header("Content-Type")
                .ifPresent(type -> exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type));
        ResponseFraming.frame(exchange, OptionalLong.empty());
        try {
            exchange.startBlocking();
            copy(response.body(), exchange.getOutputStream());
            ResponseFraming.complete(exchange);
            return new AttemptOutcome.Completed(response.status(), 0, firstByte);
        } catch (IOException aborted) {
            ResponseFraming.abort(exchange);
            metrics.count("answers-cut-off", 1);
            return new AttemptOutcome.Truncated(0);
        } finally {
            calls.remove(call.request());
        }
    }

    private static void copy(InputStream input, OutputStream output) throws IOException {
        byte[] buffer = new byte[COPY_BUFFER_BYTES];
        int count = input.read(buffer);
        while (count >= 0) {
            output.write(buffer, 0, count);
            output.flush();
            count = input.read(buffer);
        }
        output.close();
    }
}
