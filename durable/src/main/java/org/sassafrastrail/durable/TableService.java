package org.sassafrastrail.durable;

/** The platform's transactional table: conditional reads and writes of single rows. */
public interface TableService {

    /** The version of a row that does not exist. */
    long ABSENT = 0;

    /**
     * Reads a row.
     *
     * @param key the row
     * @return the row, or why there is none
     */
    TableReadResult read(String key);

    /**
     * Writes a row if it still has the expected version.
     *
     * @param key the row
     * @param value its new value
     * @param expectedVersion the version that the row must have, {@link #ABSENT} for a new row
     * @return whether it was written
     */
    TableWriteResult write(String key, String value, long expectedVersion);

    /**
     * Deletes a row if it still has the expected version.
     *
     * @param key the row
     * @param expectedVersion the version that the row must have
     * @return whether it was deleted
     */
    TableWriteResult delete(String key, long expectedVersion);
}
