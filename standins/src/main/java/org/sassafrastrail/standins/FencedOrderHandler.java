package org.sassafrastrail.standins;

import java.util.Optional;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.http.JsonResponses;

/**
 * Handles orders to an engine. An engine that honours fencing rejects an order whose token is lower than the highest
 * token received so far.
 */
final class FencedOrderHandler {

    private static final String FENCING_TOKEN = "X-Fencing-Token";

    private final boolean honoursFencing;
    private long highestToken;
    private long accepted;

    FencedOrderHandler(boolean honoursFencing) {
        this.honoursFencing = honoursFencing;
    }

    synchronized void handle(HttpServerExchange exchange) {
        long token = Optional.ofNullable(exchange.getRequestHeaders().getFirst(FENCING_TOKEN))
                .map(Long::parseLong)
                .orElse(0L);
        boolean rejected = honoursFencing && token < highestToken;
        highestToken = Math.max(highestToken, token);
        accepted += rejected ? 0 : 1;
        exchange.setStatusCode(rejected ? StatusCodes.CONFLICT : StatusCodes.OK);
        JsonResponses.send(exchange, "{\"taken\":" + accepted + ",\"highest\":" + highestToken + "}\n");
    }
}
