package org.sassafrastrail.gate;

import java.time.Duration;
import java.util.Map;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * A move to another version: the new one gets a limited part of the requests, and none once it is rejected.
 *
 * @param move the order
 * @param requests the number of attempts of this gateway at the target since the order
 * @param requestsToNew the number of those at the new version
 * @param newVersion the evidence on the new version, by route
 * @param otherVersions the evidence on the other versions over the same time, by route
 * @param rejected whether the new version gets no requests any more
 */
record VersionTrial(
        VersionMove move,
        long requests,
        long requestsToNew,
        PMap<String, VersionEvidence> newVersion,
        PMap<String, VersionEvidence> otherVersions,
        boolean rejected) {

    static VersionTrial of(VersionMove move) {
        return new VersionTrial(move, 0, 0, HashTreePMap.empty(), HashTreePMap.empty(), false);
    }

    /** Returns whether an upstream may get the next request. */
    boolean allows(Upstream upstream, double maxShare, double extra) {
        return !move.isTo(upstream) || !rejected && requestsToNew + 1 <= (requests + 1) * maxShare + extra;
    }

    VersionTrial withDispatch(Upstream upstream) {
        return new VersionTrial(
                move, requests + 1, requestsToNew + (move.isTo(upstream) ? 1 : 0), newVersion, otherVersions, rejected);
    }

    VersionTrial withResponse(Route route, Upstream upstream, Duration time) {
        return with(route, upstream, evidence(route, upstream).withResponse(time.toMillis()));
    }

    VersionTrial withFailure(Route route, Upstream upstream) {
        return with(route, upstream, evidence(route, upstream).withFailure());
    }

    VersionTrial asRejected() {
        return new VersionTrial(move, requests, requestsToNew, newVersion, otherVersions, true);
    }

    /** Returns whether the evidence on any route says that the new version is worse than the others. */
    boolean isNewVersionWorse() {
        return newVersion.entrySet().stream()
                .anyMatch(route -> route.getValue().isWorseThan(evidence(otherVersions, route.getKey())));
    }

    private VersionEvidence evidence(Route route, Upstream upstream) {
        return evidence(move.isTo(upstream) ? newVersion : otherVersions, route.name());
    }

    private static VersionEvidence evidence(Map<String, VersionEvidence> byRoute, String route) {
        return byRoute.getOrDefault(route, VersionEvidence.NONE);
    }

    private VersionTrial with(Route route, Upstream upstream, VersionEvidence evidence) {
        boolean isNew = move.isTo(upstream);
        return new VersionTrial(
                move,
                requests,
                requestsToNew,
                isNew ? newVersion.plus(route.name(), evidence) : newVersion,
                isNew ? otherVersions : otherVersions.plus(route.name(), evidence),
                rejected);
    }
}
