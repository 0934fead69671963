package org.sassafrastrail.standins;

import java.util.Optional;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.http.JsonResponses;

/** Takes an engine's orders, and refuses those with an old fencing token if the engine honours tokens. */
final class Orders {

    private static final String FENCING_TOKEN = "X-Fencing-Token";

    private final boolean honoursFencing;
    private long highest;
    private long taken;

    Orders(boolean honoursFencing) {
        this.honoursFencing = honoursFencing;
    }

    synchronized void take(HttpServerExchange exchange) {
        long token = Optional.ofNullable(exchange.getRequestHeaders().getFirst(FENCING_TOKEN))
                .map(Long::parseLong)
                .orElse(0L);
        boolean refused = honoursFencing && token < highest;
        highest = Math.max(highest, token);
        taken += refused ? 0 : 1;
        exchange.setStatusCode(refused ? StatusCodes.CONFLICT : StatusCodes.OK);
        JsonResponses.send(exchange, "{\"taken\":" + taken + ",\"highest\":" + highest + "}\n");
    }
}
