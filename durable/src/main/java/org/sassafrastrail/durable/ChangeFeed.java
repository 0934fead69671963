package org.sassafrastrail.durable;

import java.time.Duration;

/** A source of the rows of one table of the store and of later changes to them. */
public interface ChangeFeed {

    /**
     * Reads the whole table.
     *
     * @return all rows, or why they could not be read
     */
    ChangeFeedResult readAll();

    /**
     * Reads the rows that changed after a version, waiting until there is at least one (long polling).
     *
     * @param version the version up to which the caller knows the table
     * @param maximumWait the longest wait for a change
     * @return the changed rows, none if the wait ended without a change, or why they could not be read
     */
    ChangeFeedResult changesSince(StoreVersion version, Duration maximumWait);
}
