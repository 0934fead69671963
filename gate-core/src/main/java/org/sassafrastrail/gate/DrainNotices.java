package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;

/**
 * The upstreams that said in a response or in their entry that they are draining. A notice ends with the process of the
 * upstream, so no entry of the registry takes it back.
 *
 * @param heardAt when the last notice of each upstream was heard
 * @param unshared the upstreams of which the peers have not been told
 */
record DrainNotices(PMap<UpstreamIncarnation, Instant> heardAt, PSet<UpstreamIncarnation> unshared) {

    static final DrainNotices NONE = new DrainNotices(HashTreePMap.empty(), HashTreePSet.empty());

    /** Longer than a draining upstream lives on. */
    static final Duration RETENTION = Duration.ofMinutes(10);

    boolean contains(UpstreamIncarnation upstream) {
        return heardAt.containsKey(upstream);
    }

    /** Adds a notice that this gateway has received, which is to be shared if it is new. */
    DrainNotices with(UpstreamIncarnation upstream, Instant now) {
        return new DrainNotices(heardAt.plus(upstream, now), contains(upstream) ? unshared : unshared.plus(upstream));
    }

    /** Adds notices that a peer has received. They are not passed on to others, whom the peer tells itself. */
    DrainNotices mergedWith(Map<UpstreamIncarnation, Instant> reported) {
        Map<UpstreamIncarnation, Instant> added = reported.entrySet().stream()
                .filter(notice -> !contains(notice.getKey()))
                .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
        return added.isEmpty() ? this : new DrainNotices(heardAt.plusAll(added), unshared);
    }

    DrainNotices withoutExpired(Instant now) {
        Set<UpstreamIncarnation> expired = heardAt.entrySet().stream()
                .filter(notice -> now.isAfter(notice.getValue().plus(RETENTION)))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
        return expired.isEmpty() ? this : new DrainNotices(heardAt.minusAll(expired), unshared.minusAll(expired));
    }

    DrainNotices asShared() {
        return new DrainNotices(heardAt, HashTreePSet.empty());
    }

    /** Marks nothing as told, because a new peer has been told nothing. */
    DrainNotices asUnshared() {
        return new DrainNotices(heardAt, HashTreePSet.from(heardAt.keySet()));
    }
}
