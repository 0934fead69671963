package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Optional;

import org.sassafrastrail.model.AccountName;

/**
 * A caller's request, as far as decisions need it.
 *
 * @param request the identifier that the caller gave it
 * @param route its route
 * @param account the client account that it belongs to, empty on anonymous routes
 * @param prompt its prompt, {@link Prompt#NONE} for plain requests
 * @param arrivedAt when its headers had been read
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
     * Tells when the request gets its final answer at the latest.
     *
     * @return the earlier of the caller's deadline and the end of its route's timeout
     */
    public Instant expiresAt() {
        Instant timeout = arrivedAt.plus(route.timeout());
        return timeout.isBefore(deadline) ? timeout : deadline;
    }
}
