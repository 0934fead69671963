package org.sassafrastrail.durable;

/** Is notified when the store behind a {@link WatchedTable} becomes unavailable and when it is available again. */
public interface StoreAvailabilityListener {

    /**
     * A read has failed, and the one before it had succeeded.
     *
     * @param version the version of the local copy
     * @param reason why the read failed
     */
    void storeUnavailable(StoreVersion version, String reason);

    /**
     * A read has succeeded, and the one before it had failed.
     *
     * @param version the version of the store
     */
    void storeAvailable(StoreVersion version);

    /**
     * The copy of the table is the first of a new era: the store came back from an older copy.
     *
     * @param before the last version of the era before
     * @param version the version of the store in the new era
     */
    void storeRestored(StoreVersion before, StoreVersion version);
}
