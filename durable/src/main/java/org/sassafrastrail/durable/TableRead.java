package org.sassafrastrail.durable;

/** What came of reading a row. */
public sealed interface TableRead {

    /**
     * The row exists.
     *
     * @param value its value
     * @param version its version, above 0
     */
    record Found(String value, long version) implements TableRead {}

    /** There is no such row. */
    record Absent() implements TableRead {}

    /** The table did not answer. */
    record Unavailable() implements TableRead {}
}
