package org.sassafrastrail.durable;

/** The platform's transactional table: reads and compare-and-set writes of single rows by key. */
public interface TableService {

    /** The expected version of a row that must not exist yet. */
    long ABSENT = 0;

    /**
     * Reads a row.
     *
     * @param key the key of the row
     * @return the row, or why it could not be read
     */
    TableReadResult read(String key);

    /**
     * Writes a row if it still has the expected version.
     *
     * @param key the key of the row
     * @param value its new value
     * @param expectedVersion the version that the row must have, {@link #ABSENT} for a new row
     * @return whether the write took effect
     */
    TableWriteResult write(String key, String value, long expectedVersion);

    /**
     * Deletes a row if it still has the expected version.
     *
     * @param key the key of the row
     * @param expectedVersion the version that the row must have
     * @return whether the deletion took effect
     */
    TableWriteResult delete(String key, long expectedVersion);
}
