package org.sassafrastrail.messages;

/**
 * Tells a gateway's peers that the sender has written the lease of a duty.
 *
 * @param duty the name of the duty
 * @param token the fencing token of the sender
 * @param renewal how often the sender has renewed the lease
 * @param progress how far the duty is done
 * @param agreed up to which window the content of the reports is agreed on
 * @param released whether the sender gave up the lease
 * @param version the version of the row of the lease in the store
 */
public record DutyUpdate(
        String duty, long token, long renewal, long progress, long agreed, boolean released, long version)
        implements Message {}
