package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * What this gateway told the others last, and when. It tells them what changed, and all there is once a second, so that a
 * report that was lost with a link does no harm for longer.
 *
 * @param loads what it had at upstreams
 * @param at when it told
 * @param wholeAt when it told all there was
 */
record Telling(Map<UpstreamIdentifier, PeerLoad> loads, Instant at, Instant wholeAt) {

    static final Telling NOTHING = new Telling(Map.of(), Instant.MIN, Instant.MIN);

    private static final Duration WHOLE_EVERY = Duration.ofSeconds(1);

    /** Tells whether the last telling is an interval ago. */
    boolean isDue(Instant now, Duration interval) {
        return !now.isBefore(at.plus(interval));
    }

    /** What there is to tell of loads and accounts. */
    GatewayReport next(Map<UpstreamIdentifier, PeerLoad> current, AccountShares shares, Instant now) {
        boolean full = !now.isBefore(wholeAt.plus(WHOLE_EVERY));
        return full
                ? new GatewayReport(true, current, shares.told(Instant.MIN, now))
                : new GatewayReport(false, changed(current), shares.told(at, now));
    }

    private Map<UpstreamIdentifier, PeerLoad> changed(Map<UpstreamIdentifier, PeerLoad> current) {
        Map<UpstreamIdentifier, PeerLoad> changes = new HashMap<>();
        loads.keySet().stream()
                .filter(upstream -> !current.containsKey(upstream))
                .forEach(upstream -> changes.put(upstream, PeerLoad.NONE));
        current.forEach((upstream, load) -> {
            if (!load.equals(loads.get(upstream))) {
                changes.put(upstream, load);
            }
        });
        return changes;
    }

    Telling told(GatewayReport report, Map<UpstreamIdentifier, PeerLoad> current, Instant now) {
        return new Telling(current, now, report.full() ? now : wholeAt);
    }
}
