package org.sassafrastrail.sidecar;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.http.HttpClient;
import org.sassafrastrail.http.HttpRequest;
import org.sassafrastrail.http.HttpResponse;
import org.sassafrastrail.http.HttpResult;
import org.sassafrastrail.http.ResponseFraming;
import org.sassafrastrail.messages.DispatchHeaders;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.NotRunReason;
import org.sassafrastrail.model.TargetKind;
import org.sassafrastrail.model.UnknownReason;
import org.sassafrastrail.sidecar.core.SidecarEvent;
import org.sassafrastrail.sidecar.core.UpstreamOutcome;

/** Forwards requests to the upstream and streams the responses back to the routers. */
final class UpstreamForwarder {

    private static final Duration UPSTREAM_TIMEOUT = Duration.ofMinutes(1);
    private static final int COPY_BYTES = 8 * 1024;
    private static final HttpString OUTCOME = new HttpString(DispatchHeaders.OUTCOME);
    private static final HttpString REASON = new HttpString(DispatchHeaders.REASON);

    private final SidecarSettings settings;
    private final HttpClient client;
    private final Supplier<TargetKind> targetKind;
    private final Consumer<SidecarEvent> control;

    UpstreamForwarder(
            SidecarSettings settings,
            HttpClient client,
            Supplier<TargetKind> targetKind,
            Consumer<SidecarEvent> control) {
        this.settings = settings;
        this.client = client;
        this.targetKind = targetKind;
        this.control = control;
    }

    /** Forwards a request that the control thread has started; blocks the calling traffic thread. */
    void forward(PendingDispatch dispatch) {
        long started = System.nanoTime();
        HttpResult result = client.send(upstreamRequest(dispatch));
        if (result instanceof HttpResult.NotSent) {
            attemptEnded(dispatch.grant(), new UpstreamOutcome.NotRun(NotRunReason.UPSTREAM_UNREACHABLE));
            sendNotRun(dispatch.exchange(), NotRunReason.UPSTREAM_UNREACHABLE);
        } else if (result instanceof HttpResult.NoResponse) {
            attemptEnded(dispatch.grant(), new UpstreamOutcome.ConnectionLost(0));
            sendOutcomeUnknown(dispatch.exchange());
        } else {
            forwardResponse(dispatch, ((HttpResult.Responded) result).response(), started);
        }
    }

    /** Responds to a dispatch that its attempt did not run. */
    static void sendNotRun(HttpServerExchange exchange, NotRunReason reason) {
        exchange.getResponseHeaders().put(OUTCOME, DispatchHeaders.OUTCOME_NOT_RUN);
        exchange.getResponseHeaders().put(REASON, reason.name());
        exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
        exchange.endExchange();
    }

    private static void sendOutcomeUnknown(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(OUTCOME, DispatchHeaders.OUTCOME_UNKNOWN);
        exchange.getResponseHeaders().put(REASON, UnknownReason.UPSTREAM_CONNECTION_LOST.name());
        exchange.setStatusCode(StatusCodes.GATEWAY_TIME_OUT);
        exchange.endExchange();
    }

    /**
     * Builds the upstream request. A service gets a new connection for each request, because a request sent over a
     * stale pooled connection would have an unknown outcome.
     */
    private HttpRequest upstreamRequest(PendingDispatch dispatch) {
        return new HttpRequest(
                settings.upstreamHost(),
                settings.upstreamPort(),
                dispatch.method(),
                dispatch.path(),
                dispatch.headers(),
                dispatch.body(),
                UPSTREAM_TIMEOUT,
                targetKind.get() == TargetKind.MODEL);
    }

    private void forwardResponse(PendingDispatch dispatch, HttpResponse response, long started) {
        HttpServerExchange exchange = dispatch.exchange();
        exchange.getResponseHeaders().put(OUTCOME, DispatchHeaders.OUTCOME_ANSWERED);
        exchange.setStatusCode(response.status());
        response.header("Content-Type")
                .ifPresent(type -> exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type));
        ResponseFraming.frame(exchange, OptionalLong.empty());
        TokenCounter tokens = new TokenCounter(dispatch.grant(), control);
        Duration firstByte = Duration.ZERO;
        try (response) {
            byte[] buffer = new byte[COPY_BYTES];
            int count = response.body().read(buffer);
            firstByte = Duration.ofNanos(System.nanoTime() - started);
            copyBody(response.body(), exchange, buffer, count, tokens);
            attemptEnded(dispatch.grant(), new UpstreamOutcome.Completed(response.status(), cost(tokens), firstByte));
        } catch (RouterDisconnected disconnected) {
            attemptEnded(dispatch.grant(), new UpstreamOutcome.Cancelled(cost(tokens)));
            ResponseFraming.abort(exchange);
        } catch (IOException truncated) {
            attemptEnded(dispatch.grant(), new UpstreamOutcome.ConnectionLost(cost(tokens)));
            ResponseFraming.abort(exchange);
        }
    }

    private static void copyBody(
            InputStream input, HttpServerExchange exchange, byte[] buffer, int firstCount, TokenCounter tokens)
            throws IOException {
        OutputStream output = exchange.getOutputStream();
        int count = firstCount;
        while (count >= 0) {
            write(output, buffer, count);
            tokens.count(buffer, count);
            count = input.read(buffer);
        }
        finish(exchange, output);
    }

    private static void write(OutputStream output, byte[] buffer, int count) throws RouterDisconnected {
        try {
            output.write(buffer, 0, count);
            output.flush();
        } catch (IOException broken) {
            throw new RouterDisconnected(broken);
        }
    }

    private static void finish(HttpServerExchange exchange, OutputStream output) throws RouterDisconnected {
        try {
            output.close();
            ResponseFraming.complete(exchange);
        } catch (IOException broken) {
            throw new RouterDisconnected(broken);
        }
    }

    private long cost(TokenCounter tokens) {
        return targetKind.get() == TargetKind.MODEL ? tokens.total() : 1;
    }

    private void attemptEnded(GrantIdentifier grant, UpstreamOutcome outcome) {
        control.accept(new SidecarEvent.AttemptEnded(grant, outcome));
    }

    /** Thrown when the router closed its connection, to distinguish this from a failure of the upstream. */
    private static final class RouterDisconnected extends IOException {

        private static final long serialVersionUID = 1L;

        RouterDisconnected(IOException cause) {
            super(cause);
        }
    }
}
