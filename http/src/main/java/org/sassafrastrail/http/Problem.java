package org.sassafrastrail.http;

import java.math.BigDecimal;
import java.time.Duration;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;

/**
 * An error response in the format of RFC 9457 (problem details).
 *
 * @param status the HTTP status code
 * @param type the last part of the problem type URN
 * @param detail a human-readable explanation, one sentence
 * @param request the identifier of the request, empty if unknown
 */
public record Problem(int status, String type, String detail, String request) {

    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);
    private static final int MILLISECOND_DIGITS = 3;
    private static final String TYPE_PREFIX = "urn:sassafrastrail:problem:";

    /**
     * Sends the problem as the response and ends the exchange. With statuses 429 and 503, the Retry-After header
     * is one second.
     *
     * @param exchange the exchange
     */
    public void send(HttpServerExchange exchange) {
        send(exchange, DEFAULT_RETRY_AFTER);
    }

    /**
     * Sends the problem as the response and ends the exchange.
     *
     * @param exchange the exchange
     * @param retryAfter the value of the Retry-After header, sent with statuses 429 and 503
     */
    public void send(HttpServerExchange exchange, Duration retryAfter) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/problem+json");
        if (status == StatusCodes.SERVICE_UNAVAILABLE || status == StatusCodes.TOO_MANY_REQUESTS) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds(retryAfter));
        }
        exchange.getResponseSender().send(json());
    }

    /** Formats whole seconds as an integer, and others with a decimal fraction, which only some clients accept. */
    private static String seconds(Duration duration) {
        return BigDecimal.valueOf(duration.toMillis(), MILLISECOND_DIGITS)
                .stripTrailingZeros()
                .toPlainString();
    }

    /** Needs no escaping: type, detail and request are names, fixed sentences and validated identifiers. */
    private String json() {
        return "{\"type\":\"" + TYPE_PREFIX + type + "\",\"status\":" + status + ",\"detail\":\"" + detail
                + "\",\"request\":\"" + request + "\"}\n";
    }
}
