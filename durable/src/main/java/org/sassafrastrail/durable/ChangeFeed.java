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
     * Reads what changed.
     *
     * @param version the version up to which changes are known
     * @param wait how long to wait for a change
     * @return the rows that changed, or why there are none
     */
    ChangeFeedResult changesSince(long version, Duration wait);
}
