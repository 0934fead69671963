package org.sassafrastrail.router.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.sassafrastrail.fairness.LedgerKey;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.model.TargetName;

/**
 * A request that the router has accepted.
 *
 * @param identifier identifies the request
 * @param account the client account that it belongs to
 * @param target the model or service that it asks for
 * @param route the route, for the evidence on versions
 * @param idempotent whether it may run again when its outcome is unknown
 * @param idempotencyKey the caller's idempotency key
 * @param hint the caller's cost hint in tokens, 0 for none
 * @param arrivedAt when it arrived
 * @param deadline until when it may wait
 */
public record RouterRequest(
        RequestIdentifier identifier,
        AccountName account,
        TargetName target,
        String route,
        boolean idempotent,
        Optional<String> idempotencyKey,
        long hint,
        Instant arrivedAt,
        Instant deadline) {

    /**
     * Returns the queue that the request waits in.
     *
     * @return its account and its model or service
     */
    public LedgerKey queueKey() {
        return new LedgerKey(target, account);
    }

    /**
     * Tells how long the request has been here.
     *
     * @param now the time
     * @return the time since it arrived
     */
    public Duration age(Instant now) {
        return Duration.between(arrivedAt, now);
    }
}
