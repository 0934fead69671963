package org.sassafrastrail.durable;

import java.time.Duration;
import java.time.Instant;

import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;

/**
 * Acquires and renews the lease that makes one node the controller of version moves. The lease is a row that its holder
 * renews. Another node takes it over only after the row has not changed for longer than the lease duration, measured with
 * that node's own clock, so clocks need not be synchronized.
 *
 * <p>A store that came back from an older copy may have lost a take-over. The era of the store is therefore the upper part of
 * the fencing token, so that a token of an earlier era is not issued again, and a node that does not hold the lease by its own
 * clock waits for the lease duration after the restore, also if the row is missing or names that node. Not thread-safe.
 */
public final class ControllerLeaseStore {

    private static final String ROW = "lease/rollout";

    /** The bits of a fencing token below the era of the store, enough for centuries of take-overs. */
    private static final int NUMBER_BITS = 40;

    private final TableService table;
    private final String holder;
    private final Duration leaseDuration;
    private Observation lastObservation = new Observation(WatchedTable.NOT_LOADED, Instant.MAX);
    private Instant heldUntil = Instant.MIN;

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
        if (read instanceof TableReadResult.Absent absent) {
            return acquireAbsent(new StoreVersion(absent.era(), TableService.ABSENT), now);
        }
        return read instanceof TableReadResult.Found found
                ? renewOrTakeOver(found, now)
                : new AcquireResult.Unconfirmed();
    }

    private AcquireResult renewOrTakeOver(TableReadResult.Found found, Instant now) {
        String[] fields = found.value().split(" ");
        long fencingToken = Long.parseLong(fields[0]);
        long firstToken = firstToken(found.version().era());
        boolean sameEra = fencingToken >= firstToken;
        boolean ownsRow = fields[1].equals(holder);
        if (ownsRow && (sameEra || now.isBefore(heldUntil))) {
            return write(Math.max(fencingToken, firstToken), found.version(), now);
        }
        return isUnchanged(found.version(), now)
                ? write(Math.max(fencingToken + 1, firstToken), found.version(), now)
                : new AcquireResult.HeldByOther();
    }

    /** Acquires a lease without a row. In a later era than the first, another node may hold it whose row was lost. */
    private AcquireResult acquireAbsent(StoreVersion absent, Instant now) {
        boolean free = absent.era() == 0 || now.isBefore(heldUntil) || isUnchanged(absent, now);
        return free ? write(firstToken(absent.era()), absent, now) : new AcquireResult.HeldByOther();
    }

    /** Returns whether the row has had a version for longer than the lease duration. */
    private boolean isUnchanged(StoreVersion version, Instant now) {
        if (!version.equals(lastObservation.version)) {
            lastObservation = new Observation(version, now);
        }
        return Duration.between(lastObservation.firstSeen, now).compareTo(leaseDuration) > 0;
    }

    private static long firstToken(long era) {
        return (era << NUMBER_BITS) + 1;
    }

    /** Writes the row. A store that was restored since it was read may have issued the expected version to another write. */
    private AcquireResult write(long fencingToken, StoreVersion version, Instant now) {
        TableWriteResult result = table.write(ROW, fencingToken + " " + holder, version.number());
        if (result instanceof TableWriteResult.Written written
                && written.version().era() == version.era()) {
            heldUntil = now.plus(leaseDuration);
            return new AcquireResult.Held(fencingToken, heldUntil);
        }
        return result instanceof TableWriteResult.Conflict
                ? new AcquireResult.HeldByOther()
                : new AcquireResult.Unconfirmed();
    }

    /** When a version of the row was first observed. */
    private record Observation(StoreVersion version, Instant firstSeen) {}
}
