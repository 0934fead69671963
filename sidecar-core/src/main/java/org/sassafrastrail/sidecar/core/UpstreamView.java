package org.sassafrastrail.sidecar.core;

import java.time.Duration;
import java.time.Instant;

/**
 * The sidecar's view of its upstream.
 *
 * @param limit the concurrency limit
 * @param missedLoadReports the number of consecutive missed load reports; from two on the upstream is unreachable
 * @param incarnation the last reported incarnation of the upstream, 0 for unknown
 * @param inheritedRequests an upper bound on running requests that an earlier incarnation of the sidecar started
 * @param lastRequestChange when the sidecar last started or ended a request
 * @param lastColdSign when the last sign of a cold start was seen
 */
public record UpstreamView(
        ConcurrencyLimit limit,
        int missedLoadReports,
        long incarnation,
        int inheritedRequests,
        Instant lastRequestChange,
        Instant lastColdSign) {

    /** A single missed load report may only be slow, so it does not make the upstream unreachable. */
    private static final int UNREACHABLE_AFTER_MISSED_REPORTS = 2;

    /** Upper bound on the lag of load reports. */
    private static final Duration MAX_REPORT_LAG = Duration.ofSeconds(2);

    static UpstreamView unknown(ConcurrencyLimit limit, Instant now) {
        return new UpstreamView(limit, UNREACHABLE_AFTER_MISSED_REPORTS, 0, 0, now, now);
    }

    UpstreamView withBounds(LimitBounds bounds) {
        return withLimit(limit.withBounds(bounds));
    }

    /** Resets the limit to the cold limit at once. */
    UpstreamView turnedCold(Instant now) {
        return new UpstreamView(
                limit.resetToCold(), missedLoadReports, incarnation, inheritedRequests, lastRequestChange, now);
    }

    /**
     * Updates the limit after a successful response. Responses of a cold upstream say nothing about its capacity when
     * warm, and a load report that shows it warm may have been taken before it turned cold. The limit therefore stays
     * unchanged until no sign of a cold start has been seen for longer than the maximum report lag.
     */
    UpstreamView responseReceived(Duration latency, int inFlight, Instant now) {
        boolean warm = Duration.between(lastColdSign, now).compareTo(MAX_REPORT_LAG) > 0;
        return warm ? withLimit(limit.responseReceived(latency, inFlight)) : this;
    }

    UpstreamView requestsChanged(Instant now) {
        return new UpstreamView(limit, missedLoadReports, incarnation, inheritedRequests, now, lastColdSign);
    }

    /**
     * Returns whether the upstream responds to load requests.
     *
     * @return whether the upstream is reachable
     */
    public boolean isReachable() {
        return missedLoadReports < UNREACHABLE_AFTER_MISSED_REPORTS;
    }

    UpstreamView loadReportMissed(Instant now) {
        UpstreamView view = missedLoadReports + 1 >= UNREACHABLE_AFTER_MISSED_REPORTS ? turnedCold(now) : this;
        return new UpstreamView(
                view.limit,
                missedLoadReports + 1,
                incarnation,
                inheritedRequests,
                lastRequestChange,
                view.lastColdSign);
    }

    /**
     * Applies a load report. The first report sets the number of inherited requests. Later reports can only lower it,
     * and only when the sidecar has not started or ended a request for longer than the maximum report lag; until then a
     * report may miscount the sidecar's own requests. A report of a restart or a cold start resets the limit; no report
     * raises it.
     */
    UpstreamView loadReported(SidecarEvent.LoadReported report, int ownRequests, Instant now) {
        boolean firstReport = incarnation == 0;
        boolean restarted = !firstReport && report.incarnation() != incarnation;
        boolean settled = Duration.between(lastRequestChange, now).compareTo(MAX_REPORT_LAG) > 0;
        int excess = Math.max(0, report.running() - ownRequests);
        int remaining = settled ? Math.min(inheritedRequests, excess) : inheritedRequests;
        UpstreamView view = restarted || report.cold() ? turnedCold(now) : this;
        return new UpstreamView(
                view.limit,
                0,
                report.incarnation(),
                firstReport ? excess : remaining,
                lastRequestChange,
                view.lastColdSign);
    }

    /** Returns the number of free slots, negative when the limit is exceeded and 0 when the upstream is unreachable. */
    int freeSlots(int ownRequests) {
        return isReachable() ? limit.current() - inheritedRequests - ownRequests : 0;
    }

    private UpstreamView withLimit(ConcurrencyLimit next) {
        return new UpstreamView(
                next, missedLoadReports, incarnation, inheritedRequests, lastRequestChange, lastColdSign);
    }
}
