package org.sassafrastrail.http;

import java.math.BigDecimal;
import java.time.Duration;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;

/**
 * A problem answer (RFC 9457).
 *
 * @param status the HTTP status
 * @param type the last part of the problem's type
 * @param detail one sentence for people
 * @param request the request, or an empty text
 */
public record Problem(int status, String type, String detail, String request) {

    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);
    private static final int MILLISECOND_DIGITS = 3;
    private static final String TYPE_PREFIX = "urn:sassafrastrail:problem:";

    /**
     * Sends the problem as the answer and ends the exchange.
     *
     * @param exchange the exchange
     */
    public void send(HttpServerExchange exchange) {
        send(exchange, DEFAULT_RETRY_AFTER);
    }

    /**
     * Sends the problem as the answer and ends the exchange.
     *
     * @param exchange the exchange
     * @param comeBackAfter when a refused caller may try again
     */
    public void send(HttpServerExchange exchange, Duration retryAfter) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/problem+json");
        if (status == StatusCodes.SERVICE_UNAVAILABLE || status == StatusCodes.TOO_MANY_REQUESTS) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds(retryAfter));
        }
        exchange.getResponseSender().send(json());
    }

    /** Whole seconds where they are whole, and otherwise with a fraction, which careful callers understand. */
    private static String seconds(Duration duration) {
        return BigDecimal.valueOf(duration.toMillis(), MILLISECOND_DIGITS)
                .stripTrailingZeros()
                .toPlainString();
    }

    /** The parts hold no characters that JSON would have to escape: names, fixed sentences and checked identifiers. */
    private String json() {
        return "{\"type\":\"" + TYPE_PREFIX + type + "\",\"status\":" + status + ",\"detail\":\"" + detail
                + "\",\"request\":\"" + request + "\"}\n";
    }
}
