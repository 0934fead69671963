package org.sassafrastrail.router;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import org.sassafrastrail.model.RefusalReason;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.router.core.RouterEvent;
import org.sassafrastrail.runtime.LogField;

/**
 * Receives the requests of callers. Buffers the body and posts the request to the control thread. No thread is blocked
 * while a body is received or a request is queued.
 */
final class CallerFrontEnd implements HttpHandler {

    private static final HttpString REQUEST = new HttpString("X-Request-Identifier");

    private final RouterSettings settings;
    private final String incarnation;
    private final PendingCalls calls;
    private final CallerDisconnectDetector disconnects;
    private final Consumer<RouterEvent> control;
    private final RouterTelemetry telemetry;
    private final AtomicLong sequence = new AtomicLong();

    CallerFrontEnd(
            RouterSettings settings,
            String incarnation,
            PendingCalls calls,
            Consumer<RouterEvent> control,
            RouterTelemetry telemetry) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.calls = calls;
        this.disconnects = new CallerDisconnectDetector(control);
        this.control = control;
        this.telemetry = telemetry;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        RequestIdentifier request =
                new RequestIdentifier(settings.node() + "-" + incarnation + "-" + sequence.incrementAndGet());
        exchange.getResponseHeaders().put(REQUEST, request.value());
        Optional<CallerPath> path = CallerPath.parse(exchange.getRelativePath());
        Optional<CallerHeaders> headers = CallerHeaders.parse(exchange.getRequestHeaders());
        if (path.isEmpty() || headers.isEmpty()) {
            refuse(exchange, request, RefusalReason.MALFORMED_REQUEST);
            return;
        }
        Receiver receiver = exchange.getRequestReceiver();
        receiver.setMaxBufferSize(settings.largestBodyBytes());
        receiver.receiveFullBytes(
                (ready, body) -> submit(ready, request, path.get(), headers.get(), body),
                (broken, failure) -> bodyFailed(broken, request, failure));
    }

    private void submit(
            HttpServerExchange exchange,
            RequestIdentifier request,
            CallerPath path,
            CallerHeaders headers,
            byte[] body) {
        PendingCall call = new PendingCall(
                request,
                exchange,
                exchange.getRequestMethod().toString(),
                path.upstreamPath(exchange.getQueryString()),
                Optional.ofNullable(exchange.getRequestHeaders().getFirst(Headers.CONTENT_TYPE)),
                body);
        RouterEvent event = new RouterEvent.RequestArrived(
                request,
                headers.caller(),
                path.target(),
                path.route(),
                isSafe(exchange),
                headers.idempotencyKey(),
                headers.hint(),
                headers.maximumWait().orElse(Duration.ofMillis(settings.callerPatienceMilliseconds())));
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            calls.add(call);
            disconnects.watch(exchange.getConnection(), request);
            control.accept(event);
        });
    }

    private void bodyFailed(HttpServerExchange exchange, RequestIdentifier request, IOException failure) {
        if (failure instanceof Receiver.RequestToLargeException) {
            refuse(exchange, request, RefusalReason.BODY_TOO_LARGE);
        } else {
            telemetry.log().debug("caller-disconnected", LogField.of("request", request));
            exchange.endExchange();
        }
    }

    private void refuse(HttpServerExchange exchange, RequestIdentifier request, RefusalReason reason) {
        telemetry.refused(request, reason);
        exchange.setPersistent(false);
        Problems.refused(request, reason).send(exchange);
    }

    private static boolean isSafe(HttpServerExchange exchange) {
        HttpString method = exchange.getRequestMethod();
        return method.equals(Methods.GET) || method.equals(Methods.HEAD);
    }
}
