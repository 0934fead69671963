package org.sassafrastrail.durable;

import java.util.List;

/** What came of reading a table or its changes. */
public sealed interface ChangeFeedResult {

    /**
     * The store answered.
     *
     * @param rows the rows
     * @param version the store's newest version at that moment
     */
    record Rows(List<TableRow> rows, long version) implements ChangeFeedResult {}

    /** The store no longer knows what changed since the version. */
    record HistoryExpired() implements ChangeFeedResult {}

    /**
     * There was no answer that helps.
     *
     * @param reason what there was instead
     */
    record Unavailable(String reason) implements ChangeFeedResult {}
}
