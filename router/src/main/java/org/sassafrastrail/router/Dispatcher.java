package org.sassafrastrail.router;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
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
import org.sassafrastrail.messages.DispatchHeaders;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.AttemptOutcome;
import org.sassafrastrail.model.NotRunReason;
import org.sassafrastrail.model.UnknownReason;
import org.sassafrastrail.router.core.RouterAction;
import org.sassafrastrail.router.core.RouterEvent;
import org.sassafrastrail.runtime.Metrics;
import org.sassafrastrail.runtime.TrafficThreads;
import org.xnio.IoUtils;

/** Sends requests to sidecars on traffic threads and passes the answers on as they come. */
final class Dispatcher {

    private static final Duration RESPONSE_TIMEOUT = Duration.ofMinutes(2);
    private static final int COPY_BUFFER_BYTES = 8 * 1024;

    private final PendingCalls calls;
    private final SidecarLinks links;
    private final HttpClient caller;
    private final TrafficThreads threads;
    private final Consumer<RouterEvent> control;
    private final Metrics metrics;
    private final String linkKey;
    private final Map<AttemptIdentifier, Future<?>> running = new ConcurrentHashMap<>();

    Dispatcher(
            PendingCalls calls,
            SidecarLinks links,
            HttpClient caller,
            TrafficThreads threads,
            Consumer<RouterEvent> control,
            Metrics metrics,
            String linkKey) {
        this.calls = calls;
        this.links = links;
        this.caller = caller;
        this.threads = threads;
        this.control = control;
        this.metrics = metrics;
        this.linkKey = linkKey;
    }

    void dispatch(RouterAction.Dispatch dispatch) {
        running.put(dispatch.attempt(), threads.run(() -> run(dispatch)));
    }

    void abandon(AttemptIdentifier attempt) {
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
            control.accept(result(dispatch, call.get(), endpoint.get()));
        }
        running.remove(attempt);
    }

    private RouterEvent result(RouterAction.Dispatch dispatch, PendingCall call, SidecarLinks.Endpoint endpoint) {
        HttpResult result = caller.send(httpCall(dispatch, call, endpoint));
        if (result instanceof HttpResult.Responded answered) {
            try (HttpResponse answer = answered.response()) {
                return outcome(dispatch, call, answer);
            }
        }
        return result instanceof HttpResult.NotSent
                ? new RouterEvent.AttemptEnded(
                        dispatch.attempt(), new AttemptOutcome.NotRun(NotRunReason.NEVER_ARRIVED))
                : new RouterEvent.AttemptConnectionLost(dispatch.attempt());
    }

    private HttpRequest httpCall(RouterAction.Dispatch dispatch, PendingCall call, SidecarLinks.Endpoint endpoint) {
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

    private RouterEvent outcome(RouterAction.Dispatch dispatch, PendingCall call, HttpResponse answer) {
        AttemptIdentifier attempt = dispatch.attempt();
        String outcome = answer.header(DispatchHeaders.OUTCOME).orElse("");
        return switch (outcome) {
            case DispatchHeaders.OUTCOME_ANSWERED -> answered(dispatch, call, answer);
            case DispatchHeaders.OUTCOME_NOT_RUN -> new RouterEvent.AttemptEnded(
                    attempt, new AttemptOutcome.NotRun(NotRunReason.valueOf(reason(answer))));
            case DispatchHeaders.OUTCOME_UNKNOWN -> new RouterEvent.AttemptEnded(
                    attempt, new AttemptOutcome.Unknown(UnknownReason.valueOf(reason(answer))));
            default -> new RouterEvent.AttemptConnectionLost(attempt);
        };
    }

    private static String reason(HttpResponse answer) {
        drain(answer);
        return answer.header(DispatchHeaders.REASON).orElseThrow();
    }

    /** Reads a short body to its end, so that the connection can be kept. */
    private static void drain(HttpResponse answer) {
        try {
            answer.body().readAllBytes();
        } catch (IOException aborted) {
            // The connection is closed with the answer.
        }
    }

    private RouterEvent answered(RouterAction.Dispatch dispatch, PendingCall call, HttpResponse answer) {
        boolean failed = answer.status() >= StatusCodes.INTERNAL_SERVER_ERROR;
        if (failed && dispatch.request().idempotent()) {
            drain(answer);
            return new RouterEvent.AttemptEnded(dispatch.attempt(), new AttemptOutcome.UpstreamFailed(answer.status()));
        }
        if (!call.claim()) {
            return new RouterEvent.AttemptEnded(dispatch.attempt(), new AttemptOutcome.Truncated(0));
        }
        return new RouterEvent.AttemptEnded(dispatch.attempt(), forwardResponse(dispatch, call, answer));
    }

    private AttemptOutcome forwardResponse(RouterAction.Dispatch dispatch, PendingCall call, HttpResponse answer) {
        HttpServerExchange exchange = call.exchange();
        Duration firstByte = Duration.ofNanos(call.ageNanoseconds());
        metrics.time("first-byte." + dispatch.request().account(), firstByte.toNanos());
        control.accept(new RouterEvent.ResponseStarted(dispatch.attempt()));
        exchange.setStatusCode(answer.status());
        answer.header("Content-Type")
                .ifPresent(type -> exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type));
        try {
            exchange.startBlocking();
            copy(answer.body(), exchange.getOutputStream());
            exchange.endExchange();
            return new AttemptOutcome.Completed(answer.status(), 0, firstByte);
        } catch (IOException aborted) {
            // Without the last chunk no caller takes the answer for whole.
            IoUtils.safeClose(exchange.getConnection());
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
