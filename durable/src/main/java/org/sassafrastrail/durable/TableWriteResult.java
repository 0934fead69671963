package org.sassafrastrail.durable;

/** The result of a conditional write to a {@link TableService}. */
public sealed interface TableWriteResult {

    /**
     * The write took effect.
     *
     * @param version its new version
     */
    record Written(StoreVersion version) implements TableWriteResult {}

    /** The row has another version than expected; nothing was written. */
    record Conflict() implements TableWriteResult {}

    /** No result was received from the table; the write may have taken effect. */
    record Unavailable() implements TableWriteResult {}
}
