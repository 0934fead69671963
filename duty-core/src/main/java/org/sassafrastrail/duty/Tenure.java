package org.sassafrastrail.duty;

import java.time.Instant;

/**
 * The time for which a gateway holds a lease.
 *
 * @param since when it took the lease
 * @param validUntil until when it may act, unless it renews the lease
 */
public record Tenure(Instant since, Instant validUntil) {}
