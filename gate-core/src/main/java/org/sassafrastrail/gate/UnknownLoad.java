package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;

/**
 * The requests of an upstream that no gateway is known to have sent, by the upstream's last report of its load. They count
 * less the older the report is, because they may have ended.
 *
 * @param requests the number of requests at the time of the report
 * @param reportedAt the time of the report
 */
record UnknownLoad(int requests, Instant reportedAt) {

    static final UnknownLoad NONE = new UnknownLoad(0, Instant.EPOCH);

    private static final Duration LIFETIME = Duration.ofSeconds(1);

    /** Compares a report with the number of requests that the gateways know of. */
    static UnknownLoad of(ReportedLoad load, int known, Instant now) {
        return new UnknownLoad(Math.max(0, load.total() - known), now);
    }

    int requestsAt(Instant now) {
        double age = (double) Duration.between(reportedAt, now).toMillis() / LIFETIME.toMillis();
        return requests == 0 || age >= 1 ? 0 : (int) Math.round(requests * (1 - Math.max(0, age)));
    }
}
