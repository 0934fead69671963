package org.sassafrastrail.durable;

import java.util.List;

/** What came of reading a table or its changes. */
public sealed interface FeedReading {

    /**
     * The store answered.
     *
     * @param rows the rows
     * @param version the store's newest version at that moment
     */
    record Rows(List<FeedRow> rows, long version) implements FeedReading {}

    /** The store no longer knows what changed since the version. */
    record HistoryGone() implements FeedReading {}

    /**
     * There was no answer that helps.
     *
     * @param reason what there was instead
     */
    record Unanswered(String reason) implements FeedReading {}
}
