package org.sassafrastrail.durable;

/** What came of fetching an object. */
public sealed interface ObjectRead {

    /**
     * The object exists.
     *
     * @param content its content
     */
    record Found(byte[] content) implements ObjectRead {}

    /** There is no such object. */
    record Absent() implements ObjectRead {}

    /** The store did not answer. */
    record Unavailable() implements ObjectRead {}
}
