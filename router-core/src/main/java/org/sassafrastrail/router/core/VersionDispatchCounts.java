package org.sassafrastrail.router.core;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.TrafficShare;

/**
 * Counts the dispatches of this router during each move since the share of the new version last changed, to limit that
 * share. Each router rounds the share down, so the routers together do not exceed it. Immutable.
 */
public final class VersionDispatchCounts {

    static final VersionDispatchCounts EMPTY = new VersionDispatchCounts(HashTreePMap.empty());

    private final PMap<MoveIdentifier, Count> counts;

    private VersionDispatchCounts(PMap<MoveIdentifier, Count> counts) {
        this.counts = counts;
    }

    /**
     * Returns how many more requests may be dispatched to the new version now.
     *
     * @param move the move
     * @param share the traffic share of the new version
     * @return the number of requests, 0 if the share is reached
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

    /** The number of dispatches since the share last changed, in total and to the new version. */
    private record Count(TrafficShare share, long total, long toNewVersion) {}
}
