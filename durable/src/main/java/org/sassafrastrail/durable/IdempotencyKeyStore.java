package org.sassafrastrail.durable;

import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.RequestIdentifier;

/**
 * Claims of idempotency keys, each a row that holds the request it belongs to. A claim whose answer was lost is settled
 * by asking again: the row then holds the request's own identifier.
 */
public final class IdempotencyKeyStore {

    private final TableService table;

    /**
     * Makes the keys.
     *
     * @param table the platform's table
     */
    public IdempotencyKeyStore(TableService table) {
        this.table = table;
    }

    /** What came of a claim. */
    public enum ClaimResult {
        /** The request holds the key. */
        OWNED,
        /** Another request holds it. */
        HELD_BY_OTHER,
        /** The table did not answer; ask again. */
        UNAVAILABLE
    }

    /**
     * Claims a key.
     *
     * @param account the client account
     * @param key the caller's key
     * @param request the request
     * @return whether the request holds the key
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
     * Gives up a key whose request did not run. If the table does not answer, the key stays claimed, which is safe.
     *
     * @param account the client account
     * @param key the caller's key
     * @param request the request that held the key
     */
    public void release(AccountName account, String key, RequestIdentifier request) {
        TableReadResult read = table.read(rowKey(account, key));
        if (read instanceof TableReadResult.Found found && found.value().equals(request.value())) {
            table.delete(rowKey(account, key), found.version());
        }
    }

    private static String rowKey(AccountName account, String key) {
        return "idempotency/" + account + "/" + key;
    }
}
