package org.sassafrastrail.durable;

import java.util.List;

/** The result of reading a table or its changes from a {@link ChangeFeed}. */
public sealed interface ChangeFeedResult {

    /**
     * The store returned rows.
     *
     * @param rows the rows that were read
     * @param version the version of the store as of which the rows were read
     */
    record Rows(List<TableRow> rows, StoreVersion version) implements ChangeFeedResult {}

    /** The store no longer retains the changes since the version, or never had it; the whole table has to be read again. */
    record HistoryExpired() implements ChangeFeedResult {}

    /**
     * The store did not respond, or not with rows.
     *
     * @param reason why the read failed, for the log
     */
    record Unavailable(String reason) implements ChangeFeedResult {}
}
