package org.sassafrastrail.durable;

/** Hears whether the store answers to one who follows a table. */
public interface StoreAvailabilityListener {

    /**
     * The store has stopped answering.
     *
     * @param version the version that is known
     * @param reason what there was instead of an answer
     */
    void storeUnavailable(long version, String reason);

    /**
     * The store answers again.
     *
     * @param version its version
     */
    void storeAvailable(long version);
}
