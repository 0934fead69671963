package org.sassafrastrail.durable;

import java.time.Duration;
import java.time.Instant;

import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;

/**
 * Acquires and renews the lease that makes one node the controller of version moves. The lease is a row that its holder
 * renews. Another node takes it over only after the row has not changed for longer than the lease duration, measured with
 * that node's own clock, so clocks need not be synchronized. Not thread-safe.
 */
public final class ControllerLeaseStore {

    private static final String ROW = "lease/rollout";

    private final TableService table;
    private final String holder;
    private final Duration leaseDuration;
    private Observation lastObservation = new Observation(TableService.ABSENT, Instant.MAX);

    /**
     * Creates the access of one node to the lease.
     *
     * @param table the platform's table
     * @param node the node
     * @param incarnation the incarnation of the node
     * @param leaseDuration how long the lease is valid without renewal
     */
    public ControllerLeaseStore(TableService table, NodeName node, Incarnation incarnation, Duration leaseDuration) {
        this.table = table;
        this.holder = node + ":" + incarnation.value();
        this.leaseDuration = leaseDuration;
    }

    /** The result of an attempt to acquire or renew the lease. */
    public sealed interface AcquireResult {

        /**
         * This node holds the lease.
         *
         * @param fencingToken the fencing token
         * @param expiresAt when the lease expires unless it is renewed
         */
        record Held(long fencingToken, Instant expiresAt) implements AcquireResult {}

        /** Another node holds the lease. */
        record HeldByOther() implements AcquireResult {}

        /** The table did not confirm the attempt; a lease held before stays valid until it expires. */
        record Unconfirmed() implements AcquireResult {}
    }

    /**
     * Acquires the lease if it is free or expired, or renews it if this node holds it.
     *
     * @param now the current time, read before the call
     * @return whether this node holds the lease
     */
    public AcquireResult acquireOrRenew(Instant now) {
        TableReadResult read = table.read(ROW);
        if (read instanceof TableReadResult.Absent) {
            return write(1, TableService.ABSENT, now);
        }
        return read instanceof TableReadResult.Found found
                ? renewOrTakeOver(found, now)
                : new AcquireResult.Unconfirmed();
    }

    private AcquireResult renewOrTakeOver(TableReadResult.Found found, Instant now) {
        String[] fields = found.value().split(" ");
        long fencingToken = Long.parseLong(fields[0]);
        if (fields[1].equals(holder)) {
            return write(fencingToken, found.version(), now);
        }
        if (found.version() != lastObservation.version) {
            lastObservation = new Observation(found.version(), now);
        }
        boolean expired = Duration.between(lastObservation.firstSeen, now).compareTo(leaseDuration) > 0;
        return expired ? write(fencingToken + 1, found.version(), now) : new AcquireResult.HeldByOther();
    }

    private AcquireResult write(long fencingToken, long version, Instant now) {
        TableWriteResult written = table.write(ROW, fencingToken + " " + holder, version);
        if (written instanceof TableWriteResult.Written) {
            return new AcquireResult.Held(fencingToken, now.plus(leaseDuration));
        }
        return written instanceof TableWriteResult.Conflict
                ? new AcquireResult.HeldByOther()
                : new AcquireResult.Unconfirmed();
    }

    /** When a version of the row was first observed. */
    private record Observation(long version, Instant firstSeen) {}
}
