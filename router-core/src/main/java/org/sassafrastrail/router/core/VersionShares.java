package org.sassafrastrail.router.core;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TrafficShare;

/**
 * Counts this router's dispatches since the last step of each move. A share is rounded down at each router, so the sum
 * over all routers stays within the share.
 */
public final class VersionShares {

    static final VersionShares EMPTY = new VersionShares(HashTreePMap.empty());

    private final PMap<MoveIdentifier, Count> counts;

    private VersionShares(PMap<MoveIdentifier, Count> counts) {
        this.counts = counts;
    }

    /**
     * Tells how many more requests the new version may get now.
     *
     * @param move the move
     * @param share the new version's share
     * @return the number, 0 if it has its share
     */
    long room(MoveIdentifier move, TrafficShare share) {
        Count count = count(move, share);
        return share.equals(TrafficShare.FULL) ? Long.MAX_VALUE : Math.max(0, share.portionOf(count.all) - count.toNew);
    }

    VersionShares plus(MoveIdentifier move, TrafficShare share, boolean toNew) {
        Count count = count(move, share);
        return new VersionShares(counts.plus(move, new Count(share, count.all + 1, count.toNew + (toNew ? 1 : 0))));
    }

    private Count count(MoveIdentifier move, TrafficShare share) {
        Count count = counts.get(move);
        return count == null || !count.share.equals(share) ? new Count(share, 0, 0) : count;
    }

    /** Dispatches since a step. */
    private record Count(TrafficShare share, long all, long toNew) {}
}
