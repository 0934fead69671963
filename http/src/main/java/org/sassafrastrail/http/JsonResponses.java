package org.sassafrastrail.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;

/** Sends JSON documents and not-found errors as responses. */
public final class JsonResponses {

    private JsonResponses() {}

    /**
     * Sends a JSON document with the status code that is set on the exchange.
     *
     * @param exchange the exchange
     * @param json the JSON document
     */
    public static void send(HttpServerExchange exchange, String json) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(json);
    }

    /**
     * Responds with status 404 and the problem {@code no-such-page}.
     *
     * @param exchange the exchange
     */
    public static void sendNotFound(HttpServerExchange exchange) {
        new Problem(StatusCodes.NOT_FOUND, "no-such-page", "There is no such page.", "").send(exchange);
    }
}
