package org.sassafrastrail.gate.capacity;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What a peer told of its responses.
 *
 * @param incarnation the run of the peer that sent the last report
 * @param sequence the number of that report
 * @param sums the sums that it told last of each upstream
 */
record PeerResponses(long incarnation, long sequence, PMap<UpstreamWork, DecayingSums> sums) {

    static final PeerResponses NONE = new PeerResponses(Long.MIN_VALUE, 0, HashTreePMap.empty());

    /** Applies a report, which replaces what it covers. One that was sent before the last one changes nothing. */
    PeerResponses with(long reporter, CapacityReport report, Instant now) {
        boolean older = reporter < incarnation || reporter == incarnation && report.sequence() <= sequence;
        return older
                ? this
                : new PeerResponses(
                        reporter,
                        report.sequence(),
                        report.upstreams().stream()
                                .limit(CapacityReport.MAX_UPSTREAMS)
                                .filter(upstream -> upstream.sums().isValid())
                                .reduce(
                                        sums,
                                        (map, upstream) ->
                                                map.plus(upstream.work(), new DecayingSums(upstream.sums(), now)),
                                        (first, second) -> second));
    }

    /** Removes what has decayed, and returns empty if nothing is left. */
    Optional<PeerResponses> withoutDecayed(Instant now) {
        PMap<UpstreamWork, DecayingSums> kept = sums.minusAll(sums.entrySet().stream()
                .filter(upstream -> upstream.getValue().isNegligible(now))
                .map(Map.Entry::getKey)
                .toList());
        return Optional.of(new PeerResponses(incarnation, sequence, kept)).filter(left -> !kept.isEmpty());
    }
}
