package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

import org.sassafrastrail.gate.Upstream;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;

/**
 * The upstreams that said in a response that they want no more requests, for some time or at all. The requests that
 * the control thread dispatched to them before it learnt of that are held back. Confined to one I/O thread.
 */
final class UnavailableUpstreams {

    /** More than the upstreams with a notice within the time that the control thread takes to learn of it. */
    private static final int MAX_UPSTREAMS = 1024;

    private final Clock clock;
    private final Map<UpstreamIncarnation, Instant> unavailableUntil = new LinkedHashMap<>() {

        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamIncarnation, Instant> eldest) {
            return size() > MAX_UPSTREAMS;
        }
    };

    UnavailableUpstreams(Clock clock) {
        this.clock = clock;
    }

    void addDraining(Upstream upstream) {
        unavailableUntil.put(upstream.incarnation(), Instant.MAX);
    }

    /** Adds an upstream that asks for a pause. Of several, the one that ends last holds. */
    void addPaused(Upstream upstream, Duration pause) {
        unavailableUntil.merge(
                upstream.incarnation(),
                clock.instant().plus(pause),
                (first, second) -> first.isAfter(second) ? first : second);
    }

    boolean contains(Upstream upstream) {
        Instant until = unavailableUntil.get(upstream.incarnation());
        return until != null && clock.instant().isBefore(until);
    }
}
