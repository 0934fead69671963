package org.sassafrastrail.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;

/**
 * The shared key that a caller has to show, compared in constant time.
 *
 * @param header the header that carries it
 * @param key the key
 */
public record SharedKey(HttpString header, String key) {

    /**
     * Tells whether a request shows the key, and answers it with a problem if not.
     *
     * @param exchange the request
     * @return whether it shows the key
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
