package org.sassafrastrail.durable;

import java.time.Duration;

/** A table of the store as something that can be followed. */
public interface ChangeFeed {

    /**
     * Reads the whole table.
     *
     * @return its rows, or why there are none
     */
    ChangeFeedResult readAll();

    /**
     * Reads the rows that changed after a version, waiting until there is at least one (long polling).
     *
     * @param version the version up to which the caller knows the table
     * @param maximumWait the longest wait for a change
     * @return the changed rows, none if the wait ended without a change, or why they could not be read
     */
    ChangeFeedResult changesSince(long version, Duration maximumWait);
}
