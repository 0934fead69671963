package org.sassafrastrail.durable;

/** What came of reading a row. */
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

    /** The table did not answer. */
    record Unavailable() implements TableReadResult {}
}
