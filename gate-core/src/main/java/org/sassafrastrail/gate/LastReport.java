package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * The last report that this gateway sent to its peers. Reports are incremental, with a full report once a second, so
 * that the loss of a report with its link has no effect for longer than that.
 *
 * @param loads the load that this gateway had at each upstream
 * @param sentAt when the last report was sent
 * @param fullAt when the last full report was sent
 */
record LastReport(Map<UpstreamIdentifier, GatewayLoad> loads, Instant sentAt, Instant fullAt) {

    static final LastReport NONE = new LastReport(Map.of(), Instant.MIN, Instant.MIN);

    private static final Duration FULL_REPORT_INTERVAL = Duration.ofSeconds(1);

    /** Returns whether the interval has passed since the last report. */
    boolean isDue(Instant now, Duration interval) {
        return !now.isBefore(sentAt.plus(interval));
    }

    /** Creates the next report, full or incremental. */
    GatewayReport next(Map<UpstreamIdentifier, GatewayLoad> current, AccountShares shares, Instant now) {
        boolean full = !now.isBefore(fullAt.plus(FULL_REPORT_INTERVAL));
        return full
                ? new GatewayReport(true, current, shares.changedSince(Instant.MIN, now))
                : new GatewayReport(false, changedLoads(current), shares.changedSince(sentAt, now));
    }

    private Map<UpstreamIdentifier, GatewayLoad> changedLoads(Map<UpstreamIdentifier, GatewayLoad> current) {
        Map<UpstreamIdentifier, GatewayLoad> changes = new HashMap<>();
        loads.keySet().stream()
                .filter(upstream -> !current.containsKey(upstream))
                .forEach(upstream -> changes.put(upstream, GatewayLoad.NONE));
        current.forEach((upstream, load) -> {
            if (!load.equals(loads.get(upstream))) {
                changes.put(upstream, load);
            }
        });
        return changes;
    }

    LastReport sent(GatewayReport report, Map<UpstreamIdentifier, GatewayLoad> current, Instant now) {
        return new LastReport(current, now, report.full() ? now : fullAt);
    }
}
