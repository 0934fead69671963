package org.sassafrastrail.durable;

/** What came of fetching an object. */
public sealed interface ObjectReadResult {

    /**
     * The object exists.
     *
     * @param content its content
     */
    record Found(byte[] content) implements ObjectReadResult {}

    /** There is no such object. */
    record Absent() implements ObjectReadResult {}

    /** The store did not answer. */
    record Unavailable() implements ObjectReadResult {}
}
