package org.sassafrastrail.sidecar;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.time.Duration;
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
import org.sassafrastrail.messages.DispatchHeaders;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.NotRunReason;
import org.sassafrastrail.model.TargetKind;
import org.sassafrastrail.model.UnknownReason;
import org.sassafrastrail.sidecar.core.SidecarEvent;
import org.sassafrastrail.sidecar.core.UpstreamOutcome;
import org.xnio.IoUtils;

/** Runs requests at the upstream and passes the answers on as they come. */
final class UpstreamCalls {

    private static final Duration LONGEST_WAIT = Duration.ofMinutes(1);
    private static final int COPY_BYTES = 8 * 1024;
    private static final HttpString OUTCOME = new HttpString(DispatchHeaders.OUTCOME);
    private static final HttpString REASON = new HttpString(DispatchHeaders.REASON);

    private final SidecarSettings settings;
    private final HttpClient caller;
    private final Supplier<TargetKind> capability;
    private final Consumer<SidecarEvent> control;

    UpstreamCalls(
            SidecarSettings settings,
            HttpClient caller,
            Supplier<TargetKind> capability,
            Consumer<SidecarEvent> control) {
        this.settings = settings;
        this.caller = caller;
        this.capability = capability;
        this.control = control;
    }

    /** Runs a request whose grant the control thread has taken, on the calling traffic thread. */
    void run(PendingDispatch dispatch) {
        long started = System.nanoTime();
        HttpResult result = caller.send(call(dispatch));
        if (result instanceof HttpResult.NotSent) {
            ended(dispatch.grant(), new UpstreamOutcome.NotRun(NotRunReason.UPSTREAM_UNREACHABLE));
            decline(dispatch.exchange(), NotRunReason.UPSTREAM_UNREACHABLE);
        } else if (result instanceof HttpResult.NoResponse) {
            ended(dispatch.grant(), new UpstreamOutcome.ConnectionLost(0));
            answerUnknown(dispatch.exchange());
        } else {
            passOn(dispatch, ((HttpResult.Responded) result).response(), started);
        }
    }

    /** Says that an attempt did not run. */
    static void decline(HttpServerExchange exchange, NotRunReason reason) {
        exchange.getResponseHeaders().put(OUTCOME, DispatchHeaders.OUTCOME_NOT_RUN);
        exchange.getResponseHeaders().put(REASON, reason.name());
        exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
        exchange.endExchange();
    }

    private static void answerUnknown(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(OUTCOME, DispatchHeaders.OUTCOME_UNKNOWN);
        exchange.getResponseHeaders().put(REASON, UnknownReason.UPSTREAM_CONNECTION_LOST.name());
        exchange.setStatusCode(StatusCodes.GATEWAY_TIME_OUT);
        exchange.endExchange();
    }

    /** A service gets a fresh connection for each call, so that a kept one that has died can't leave a doubt. */
    private HttpRequest call(PendingDispatch dispatch) {
        return new HttpRequest(
                settings.upstreamHost(),
                settings.upstreamPort(),
                dispatch.method(),
                dispatch.path(),
                dispatch.headers(),
                dispatch.body(),
                LONGEST_WAIT,
                capability.get() == TargetKind.MODEL);
    }

    private void passOn(PendingDispatch dispatch, HttpResponse answer, long started) {
        HttpServerExchange exchange = dispatch.exchange();
        exchange.getResponseHeaders().put(OUTCOME, DispatchHeaders.OUTCOME_ANSWERED);
        exchange.setStatusCode(answer.status());
        answer.header("Content-Type")
                .ifPresent(type -> exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type));
        TokenCounter tokens = new TokenCounter(dispatch.grant(), control);
        Duration firstByte = Duration.ZERO;
        try (answer) {
            byte[] buffer = new byte[COPY_BYTES];
            int count = answer.body().read(buffer);
            firstByte = Duration.ofNanos(System.nanoTime() - started);
            copyRest(answer.body(), exchange, buffer, count, tokens);
            ended(dispatch.grant(), new UpstreamOutcome.Completed(answer.status(), cost(tokens), firstByte));
        } catch (RouterGone gone) {
            ended(dispatch.grant(), new UpstreamOutcome.Cancelled(cost(tokens)));
            IoUtils.safeClose(exchange.getConnection());
        } catch (IOException cut) {
            ended(dispatch.grant(), new UpstreamOutcome.ConnectionLost(cost(tokens)));
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private static void copyRest(
            InputStream input, HttpServerExchange exchange, byte[] buffer, int first, TokenCounter tokens)
            throws IOException {
        OutputStream output = exchange.getOutputStream();
        int count = first;
        while (count >= 0) {
            write(output, buffer, count);
            tokens.count(buffer, count);
            count = input.read(buffer);
        }
        finish(exchange, output);
    }

    private static void write(OutputStream output, byte[] buffer, int count) throws RouterGone {
        try {
            output.write(buffer, 0, count);
            output.flush();
        } catch (IOException broken) {
            throw new RouterGone(broken);
        }
    }

    private static void finish(HttpServerExchange exchange, OutputStream output) throws RouterGone {
        try {
            output.close();
            exchange.endExchange();
        } catch (IOException broken) {
            throw new RouterGone(broken);
        }
    }

    private long cost(TokenCounter tokens) {
        return capability.get() == TargetKind.MODEL ? tokens.total() : 1;
    }

    private void ended(GrantIdentifier grant, UpstreamOutcome outcome) {
        control.accept(new SidecarEvent.AttemptEnded(grant, outcome));
    }

    /** The router closed its connection, which is not the upstream's fault. */
    private static final class RouterGone extends IOException {

        private static final long serialVersionUID = 1L;

        RouterGone(IOException cause) {
            super(cause);
        }
    }
}
