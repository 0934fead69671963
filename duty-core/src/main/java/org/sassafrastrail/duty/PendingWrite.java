package org.sassafrastrail.duty;

import java.time.Instant;

/**
 * A write of the row of a lease that got no answer. It may have taken effect, or may still do so.
 *
 * @param row the content
 * @param sentAt the time just before it was first sent
 */
public record PendingWrite(LeaseRow row, Instant sentAt) {}
