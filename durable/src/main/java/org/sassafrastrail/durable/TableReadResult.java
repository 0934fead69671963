package org.sassafrastrail.durable;

/** The result of reading a row from a {@link TableService}. */
public sealed interface TableReadResult {

    /**
     * The row exists.
     *
     * @param value its value
     * @param version its version, whose number is above 0
     */
    record Found(String value, StoreVersion version) implements TableReadResult {}

    /**
     * There is no such row.
     *
     * @param era the era of the store
     */
    record Absent(long era) implements TableReadResult {}

    /** The table could not be read. */
    record Unavailable() implements TableReadResult {}
}
