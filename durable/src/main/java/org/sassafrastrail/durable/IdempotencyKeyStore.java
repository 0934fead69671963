package org.sassafrastrail.durable;

import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.RequestIdentifier;

/**
 * Claims idempotency keys for requests. A claim is a row that holds the identifier of the request, so a claim whose
 * result was lost is resolved by reading the row back: it then holds the identifier of this request.
 */
public final class IdempotencyKeyStore {

    private final TableService table;

    /**
     * Creates the store.
     *
     * @param table the platform's table
     */
    public IdempotencyKeyStore(TableService table) {
        this.table = table;
    }

    /** The result of a claim. */
    public enum ClaimResult {
        /** The request owns the key. */
        OWNED,
        /** Another request owns the key. */
        HELD_BY_OTHER,
        /** The table did not confirm the claim; retry. */
        UNAVAILABLE
    }

    /**
     * Claims a key.
     *
     * @param account the client account
     * @param key the caller's key
     * @param request the request that claims it
     * @return whether the request owns the key
     */
    public ClaimResult claim(AccountName account, String key, RequestIdentifier request) {
        TableWriteResult write = table.write(rowKey(account, key), request.value(), TableService.ABSENT);
        return write instanceof TableWriteResult.Written ? ClaimResult.OWNED : readBack(account, key, request);
    }

    private ClaimResult readBack(AccountName account, String key, RequestIdentifier request) {
        TableReadResult read = table.read(rowKey(account, key));
        if (read instanceof TableReadResult.Found found) {
            return found.value().equals(request.value()) ? ClaimResult.OWNED : ClaimResult.HELD_BY_OTHER;
        }
        return ClaimResult.UNAVAILABLE;
    }

    /**
     * Releases the key of a request that did not run. If the table is unavailable, the key stays claimed, which is safe.
     *
     * @param account the client account
     * @param key the caller's key
     * @param request the request that claimed the key
     */
    public void release(AccountName account, String key, RequestIdentifier request) {
        TableReadResult read = table.read(rowKey(account, key));
        if (read instanceof TableReadResult.Found found && found.value().equals(request.value())) {
            table.delete(rowKey(account, key), found.version().number());
        }
    }

    private static String rowKey(AccountName account, String key) {
        return "idempotency/" + account + "/" + key;
    }
}
