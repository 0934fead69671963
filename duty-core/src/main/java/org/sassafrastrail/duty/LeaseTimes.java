package org.sassafrastrail.duty;

import java.time.Duration;

/**
 * The times of a lease.
 *
 * @param lease the time for which a lease is valid after its last renewal was sent
 * @param slack how much earlier the holder stops, and how much later another gateway begins. It covers a pause of the process
 *     between the check of the lease and the call.
 */
public record LeaseTimes(Duration lease, Duration slack) {

    private static final int RENEWALS_PER_LEASE = 3;
    private static final int RETRIES_PER_LEASE = 6;

    /** A holder gives up after it has failed for one lease time. With three gateways, two have tried when it tries again. */
    private static final int ABSTENTION_LEASES = 2;

    Duration renewal() {
        return lease.dividedBy(RENEWALS_PER_LEASE);
    }

    Duration retry() {
        return lease.dividedBy(RETRIES_PER_LEASE);
    }

    Duration validity() {
        return lease.minus(slack);
    }

    Duration untilTakeover() {
        return lease.plus(slack);
    }

    Duration abstention() {
        return lease.multipliedBy(ABSTENTION_LEASES);
    }
}
