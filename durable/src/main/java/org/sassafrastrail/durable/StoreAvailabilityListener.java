package org.sassafrastrail.durable;

/** Is notified when the store behind a {@link WatchedTable} becomes unavailable and when it is available again. */
public interface StoreAvailabilityListener {

    /**
     * A read has failed, and the one before it had succeeded.
     *
     * @param version the version of the local copy
     * @param reason why the read failed
     */
    void storeUnavailable(long version, String reason);

    /**
     * A read has succeeded, and the one before it had failed.
     *
     * @param version the version of the store
     */
    void storeAvailable(long version);
}
