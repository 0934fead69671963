package org.sassafrastrail.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;

/** Answers with JSON, or says that there is no such page. */
public final class JsonResponses {

    private JsonResponses() {}

    /**
     * Answers with JSON and the status that the exchange has.
     *
     * @param exchange the exchange
     * @param json the JSON
     */
    public static void send(HttpServerExchange exchange, String json) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(json);
    }

    /**
     * Says that there is no such page.
     *
     * @param exchange the exchange
     */
    public static void sendNotFound(HttpServerExchange exchange) {
        new Problem(StatusCodes.NOT_FOUND, "no-such-page", "There is no such page.", "").send(exchange);
    }
}
