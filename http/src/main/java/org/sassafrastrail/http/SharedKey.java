package org.sassafrastrail.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;

/**
 * A shared secret that requests must carry in a header, compared in constant time.
 *
 * @param header the name of the header
 * @param key the expected key
 */
public record SharedKey(HttpString header, String key) {

    /**
     * Checks the key of a request, and responds with status 403 if it is missing or wrong.
     *
     * @param exchange the exchange of the request
     * @return whether the key is right and the request may be handled
     */
    public boolean checkOrReject(HttpServerExchange exchange) {
        String given = Optional.ofNullable(exchange.getRequestHeaders().getFirst(header))
                .orElse("");
        boolean same =
                MessageDigest.isEqual(given.getBytes(StandardCharsets.UTF_8), key.getBytes(StandardCharsets.UTF_8));
        if (!same) {
            new Problem(StatusCodes.FORBIDDEN, "wrong-key", "The shared key is missing or wrong.", "").send(exchange);
        }
        return same;
    }
}
