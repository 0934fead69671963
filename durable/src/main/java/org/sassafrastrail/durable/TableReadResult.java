package org.sassafrastrail.durable;

/** The result of reading a row from a {@link TableService}. */
public sealed interface TableReadResult {

    /**
     * The row exists.
     *
     * @param value its value
     * @param version its version, above 0
     */
    record Found(String value, long version) implements TableReadResult {}

    /** There is no such row. */
    record Absent() implements TableReadResult {}

    /** The table could not be read. */
    record Unavailable() implements TableReadResult {}
}
