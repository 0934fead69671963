package org.sassafrastrail.router.core;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TrafficShare;

/**
 * Counts this router's dispatches since the last step of each move. A share is rounded down at each router, so the sum
 * over total routers stays within the share.
 */
public final class VersionDispatchCounts {

    static final VersionDispatchCounts EMPTY = new VersionDispatchCounts(HashTreePMap.empty());

    private final PMap<MoveIdentifier, Count> counts;

    private VersionDispatchCounts(PMap<MoveIdentifier, Count> counts) {
        this.counts = counts;
    }

    /**
     * Tells how many more requests the new version may get now.
     *
     * @param move the move
     * @param share the new version's share
     * @return the number, 0 if it has its share
     */
    long remaining(MoveIdentifier move, TrafficShare share) {
        Count count = count(move, share);
        return share.equals(TrafficShare.FULL)
                ? Long.MAX_VALUE
                : Math.max(0, share.portionOf(count.total) - count.toNewVersion);
    }

    VersionDispatchCounts plus(MoveIdentifier move, TrafficShare share, boolean toNewVersion) {
        Count count = count(move, share);
        return new VersionDispatchCounts(
                counts.plus(move, new Count(share, count.total + 1, count.toNewVersion + (toNewVersion ? 1 : 0))));
    }

    private Count count(MoveIdentifier move, TrafficShare share) {
        Count count = counts.get(move);
        return count == null || !count.share.equals(share) ? new Count(share, 0, 0) : count;
    }

    /** Dispatches since a step. */
    private record Count(TrafficShare share, long total, long toNewVersion) {}
}
