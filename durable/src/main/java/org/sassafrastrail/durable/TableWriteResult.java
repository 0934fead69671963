package org.sassafrastrail.durable;

/** What came of writing a row. */
public sealed interface TableWriteResult {

    /**
     * The row was written.
     *
     * @param version its new version
     */
    record Written(long version) implements TableWriteResult {}

    /** The row has another version than expected; nothing was written. */
    record Conflict() implements TableWriteResult {}

    /** The table did not answer; the write may have taken effect. */
    record Unavailable() implements TableWriteResult {}
}
