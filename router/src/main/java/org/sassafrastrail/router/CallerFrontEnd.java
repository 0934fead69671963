package org.sassafrastrail.router;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import org.sassafrastrail.model.Identifiers;
import org.sassafrastrail.model.RefusalReason;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.router.core.RouterEvent;
import org.sassafrastrail.rules.KeyDigest;
import org.sassafrastrail.runtime.LogField;

/**
 * Takes callers' requests: {@code /models/NAME/ROUTE} and {@code /services/NAME/ROUTE}. It reads the whole body and
 * hands the request to the control thread; no thread waits while the request does.
 */
final class CallerFrontEnd implements HttpHandler {

    private static final HttpString HINT = new HttpString("X-Cost-Hint");
    private static final HttpString PATIENCE = new HttpString("X-Patience-Milliseconds");
    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    private static final HttpString REQUEST = new HttpString("X-Request-Identifier");
    private static final String BEARER = "Bearer ";

    private final RouterSettings settings;
    private final String incarnation;
    private final PendingCalls calls;
    private final Consumer<RouterEvent> control;
    private final RouterReports reports;
    private final AtomicLong sequence = new AtomicLong();

    CallerFrontEnd(
            RouterSettings settings,
            String incarnation,
            PendingCalls calls,
            Consumer<RouterEvent> control,
            RouterReports reports) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.calls = calls;
        this.control = control;
        this.reports = reports;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (exchange.isInIoThread()) {
            exchange.dispatch(this);
            return;
        }
        RequestIdentifier request =
                new RequestIdentifier(settings.node() + "-" + incarnation + "-" + sequence.incrementAndGet());
        exchange.getResponseHeaders().put(REQUEST, request.value());
        exchange.startBlocking();
        accept(exchange, request);
    }

    private void accept(HttpServerExchange exchange, RequestIdentifier request) {
        Optional<CallerPath> path = CallerPath.parse(exchange.getRelativePath());
        if (path.isEmpty() || !headersAreValid(exchange)) {
            refuse(exchange, request, RefusalReason.MALFORMED_REQUEST);
            return;
        }
        try {
            byte[] body = exchange.getInputStream().readNBytes(settings.largestBodyBytes() + 1);
            if (body.length > settings.largestBodyBytes()) {
                refuse(exchange, request, RefusalReason.BODY_TOO_LARGE);
                return;
            }
            submit(exchange, request, path.get(), body);
        } catch (IOException brokenOff) {
            reports.log().debug("caller-broke-off", LogField.of("request", request));
        }
    }

    private void submit(HttpServerExchange exchange, RequestIdentifier request, CallerPath path, byte[] body) {
        PendingCall call = new PendingCall(
                request,
                exchange,
                exchange.getRequestMethod().toString(),
                path.upstreamPath(exchange.getQueryString()),
                header(exchange, Headers.CONTENT_TYPE),
                body);
        RouterEvent event = new RouterEvent.RequestArrived(
                request,
                KeyDigest.of(callerKey(exchange)),
                path.target(),
                path.route(),
                isSafe(exchange),
                header(exchange, IDEMPOTENCY_KEY),
                number(exchange, HINT).orElse(0L),
                Duration.ofMillis(number(exchange, PATIENCE).orElse(settings.callerPatienceMilliseconds())));
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            calls.add(call);
            exchange.getConnection().addCloseListener(closed -> control.accept(new RouterEvent.CallerGone(request)));
            control.accept(event);
        });
    }

    private void refuse(HttpServerExchange exchange, RequestIdentifier request, RefusalReason reason) {
        reports.refused(request, reason);
        exchange.setPersistent(false);
        Problems.refused(request, reason).send(exchange);
    }

    private static boolean isSafe(HttpServerExchange exchange) {
        String method = exchange.getRequestMethod().toString();
        return method.equals("GET") || method.equals("HEAD");
    }

    private static boolean headersAreValid(HttpServerExchange exchange) {
        boolean numbers = isAbsentOrNumber(exchange, HINT) && isAbsentOrNumber(exchange, PATIENCE);
        return numbers
                && header(exchange, IDEMPOTENCY_KEY).map(Identifiers::isName).orElse(true);
    }

    private static boolean isAbsentOrNumber(HttpServerExchange exchange, HttpString name) {
        return header(exchange, name).isEmpty() || number(exchange, name).isPresent();
    }

    private static Optional<Long> number(HttpServerExchange exchange, HttpString name) {
        Function<String, Optional<Long>> parse = text -> {
            try {
                return Optional.of(Long.parseLong(text)).filter(number -> number >= 0);
            } catch (NumberFormatException malformed) {
                return Optional.empty();
            }
        };
        return header(exchange, name).flatMap(parse);
    }

    private static String callerKey(HttpServerExchange exchange) {
        return header(exchange, Headers.AUTHORIZATION)
                .filter(value -> value.startsWith(BEARER))
                .map(value -> value.substring(BEARER.length()))
                .orElse("");
    }

    private static Optional<String> header(HttpServerExchange exchange, HttpString name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
    }

    /** The parts of a caller's path. */
    private record CallerPath(TargetName target, String route) {

        private static final int PARTS = 4;

        static Optional<CallerPath> parse(String path) {
            String[] parts = path.split("/", PARTS);
            boolean valid = parts.length == PARTS
                    && (parts[1].equals("models") || parts[1].equals("services"))
                    && Identifiers.isName(parts[2])
                    && Identifiers.isName(parts[PARTS - 1].replace('/', ':'));
            return valid ? Optional.of(new CallerPath(new TargetName(parts[2]), parts[PARTS - 1])) : Optional.empty();
        }

        String upstreamPath(String query) {
            return "/" + route + (query.isEmpty() ? "" : "?" + query);
        }
    }
}
