package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Optional;

import org.sassafrastrail.model.AccountName;

/**
 * The properties of a caller's request that decisions depend on.
 *
 * @param request the identifier that the caller assigned to it
 * @param route its route
 * @param account the client account that it belongs to, empty on anonymous routes
 * @param prompt its prompt, {@link Prompt#NONE} for plain requests
 * @param arrivedAt when its headers were read
 * @param deadline when the caller stops waiting
 */
public record CallDescription(
        String request,
        Route route,
        Optional<AccountName> account,
        Prompt prompt,
        Instant arrivedAt,
        Instant deadline) {

    /**
     * Returns when the request must have its final response.
     *
     * @return the earlier of the caller's deadline and the end of the route's timeout
     */
    public Instant expiresAt() {
        Instant timeout = arrivedAt.plus(route.timeout());
        return timeout.isBefore(deadline) ? timeout : deadline;
    }
}
