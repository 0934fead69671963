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
 * @param sentAt when it told
 * @param fullAt when it told all there was
 */
record LastReport(Map<UpstreamIdentifier, PeerLoad> loads, Instant sentAt, Instant fullAt) {

    static final LastReport NONE = new LastReport(Map.of(), Instant.MIN, Instant.MIN);

    private static final Duration FULL_REPORT_INTERVAL = Duration.ofSeconds(1);

    /** Tells whether the last telling is an interval ago. */
    boolean isDue(Instant now, Duration interval) {
        return !now.isBefore(sentAt.plus(interval));
    }

    /** What there is to tell of loads and accounts. */
    GatewayReport next(Map<UpstreamIdentifier, PeerLoad> current, AccountShares shares, Instant now) {
        boolean full = !now.isBefore(fullAt.plus(FULL_REPORT_INTERVAL));
        return full
                ? new GatewayReport(true, current, shares.changedSince(Instant.MIN, now))
                : new GatewayReport(false, changedLoads(current), shares.changedSince(sentAt, now));
    }

    private Map<UpstreamIdentifier, PeerLoad> changedLoads(Map<UpstreamIdentifier, PeerLoad> current) {
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

    LastReport sent(GatewayReport report, Map<UpstreamIdentifier, PeerLoad> current, Instant now) {
        return new LastReport(current, now, report.full() ? now : fullAt);
    }
}
