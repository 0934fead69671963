package org.sassafrastrail.standins;

import java.util.Optional;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.http.JsonResponses;

/** Takes an engine's orders, and refuses those with an old fencing token if the engine honours tokens. */
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
