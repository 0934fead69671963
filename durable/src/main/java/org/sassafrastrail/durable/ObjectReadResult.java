package org.sassafrastrail.durable;

/** The result of reading an object from an {@link ObjectStore}. */
public sealed interface ObjectReadResult {

    /**
     * The object exists.
     *
     * @param content its content
     */
    record Found(byte[] content) implements ObjectReadResult {}

    /** There is no such object. */
    record Absent() implements ObjectReadResult {}

    /** The store could not be read. */
    record Unavailable() implements ObjectReadResult {}
}
