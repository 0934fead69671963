package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;

/**
 * The upstreams that wanted no more requests of this gateway for some time. After a pause the load returns gradually.
 *
 * @param ends the end of the latest pause of each upstream
 */
record UpstreamPauses(PMap<UpstreamIncarnation, Instant> ends) {

    static final UpstreamPauses NONE = new UpstreamPauses(HashTreePMap.empty());

    /** The time after a pause in which the load of an upstream rises to that of all its slots. */
    private static final Duration RAMP = Duration.ofSeconds(1);

    /** Adds a pause. Of several, the one that ends last holds. */
    UpstreamPauses with(UpstreamIncarnation upstream, Instant end) {
        Instant known = ends.getOrDefault(upstream, Instant.MIN);
        return end.isAfter(known) ? new UpstreamPauses(ends.plus(upstream, end)) : this;
    }

    boolean isEmpty() {
        return ends.isEmpty();
    }

    /** Returns the end of the pause of an upstream, empty if it is not paused. */
    Optional<Instant> pausedUntil(UpstreamIncarnation upstream, Instant now) {
        return Optional.ofNullable(ends.get(upstream)).filter(now::isBefore);
    }

    /**
     * Returns whether an upstream may get another request of this gateway: it is not paused, and after a pause the requests
     * that it runs are still below what the ramp allows.
     */
    boolean allows(UpstreamState upstream, int gateways, Instant now) {
        Instant end = ends.get(upstream.upstream().incarnation());
        return end == null || !now.isBefore(end) && upstream.running() < rampLimit(upstream, end, gateways, now);
    }

    private static double rampLimit(UpstreamState upstream, Instant end, int gateways, Instant now) {
        double elapsed = (double) Duration.between(end, now).toNanos() / RAMP.toNanos();
        return elapsed >= 1
                ? Double.POSITIVE_INFINITY
                : Math.max(1, upstream.upstream().slots() * elapsed / gateways);
    }

    UpstreamPauses withoutEnded(Instant now) {
        Set<UpstreamIncarnation> ended = ends.entrySet().stream()
                .filter(pause -> !now.isBefore(pause.getValue().plus(RAMP)))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
        return ended.isEmpty() ? this : new UpstreamPauses(ends.minusAll(ended));
    }
}
