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
 * @param account the client account of the caller
 * @param target the requested model or service
 * @param route the path below the model or service, used for the evidence on versions
 * @param idempotent whether the request may be retried when its outcome is unknown
 * @param idempotencyKey the caller's idempotency key, if any
 * @param hint the caller's cost hint in tokens, 0 for none
 * @param arrivedAt when the request arrived
 * @param deadline until when the request may be queued
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
     * Returns the key of the queue of this request.
     *
     * @return the client account and the model or service
     */
    public LedgerKey queueKey() {
        return new LedgerKey(target, account);
    }

    /**
     * Returns the time since the request arrived.
     *
     * @param now the current time
     * @return the age of the request
     */
    public Duration age(Instant now) {
        return Duration.between(arrivedAt, now);
    }
}
