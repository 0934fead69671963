package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

import org.sassafrastrail.gate.Upstream;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;

/**
 * The upstreams that said in a response that they want no more requests, for some time or at all. It holds back those
 * requests that the control thread dispatched before it learnt of the notice. Confined to one I/O thread.
 */
final class UpstreamNotices {

    /** More than the upstreams with a notice within the time that the control thread takes to learn of it. */
    private static final int MAX_UPSTREAMS = 1024;

    private final Clock clock;
    private final Map<UpstreamIncarnation, Instant> closedUntil = new LinkedHashMap<>() {

        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamIncarnation, Instant> eldest) {
            return size() > MAX_UPSTREAMS;
        }
    };

    UpstreamNotices(Clock clock) {
        this.clock = clock;
    }

    void setDraining(Upstream upstream) {
        closedUntil.put(upstream.incarnation(), Instant.MAX);
    }

    /** Sets a pause. Of several, the one that ends last holds. */
    void setPause(Upstream upstream, Duration pause) {
        closedUntil.merge(
                upstream.incarnation(),
                clock.instant().plus(pause),
                (first, second) -> first.isAfter(second) ? first : second);
    }

    boolean acceptsRequests(Upstream upstream) {
        Instant until = closedUntil.get(upstream.incarnation());
        return until == null || !clock.instant().isBefore(until);
    }
}
