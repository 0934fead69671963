package org.sassafrastrail.duty;

/** What a gateway does next for a lease. */
public sealed interface LeaseStep {

    /** Nothing is due. */
    record Wait() implements LeaseStep {}

    /** Read the row of the lease. */
    record Read() implements LeaseStep {}

    /**
     * Write the row of the lease if it has the expected version.
     *
     * @param row the new content
     * @param expectedVersion the version of the row, 0 if there is none
     */
    record Write(LeaseRow row, long expectedVersion) implements LeaseStep {}
}
