package org.sassafrastrail.sidecar.core;

import java.time.Duration;
import java.time.Instant;

/**
 * What the sidecar knows of its upstream.
 *
 * @param limit how many requests it may run at once
 * @param missedLoadReports how many reports in a row it has missed; from two on it counts as unreachable
 * @param incarnation its last known life, 0 for unknown
 * @param inheritedRequests how many requests may run there that an earlier life of the sidecar began
 * @param lastRequestChange when the sidecar last began or ended a request
 * @param lastColdSign when the upstream last showed a sign of a cold start
 */
public record UpstreamView(
        ConcurrencyLimit limit,
        int missedLoadReports,
        long incarnation,
        int inheritedRequests,
        Instant lastRequestChange,
        Instant lastColdSign) {

    /** A single missed report may be a slow one. */
    private static final int UNREACHABLE_AFTER_MISSED_REPORTS = 2;

    /** Reports lag by less than this. */
    private static final Duration MAX_REPORT_LAG = Duration.ofSeconds(2);

    static UpstreamView unknown(ConcurrencyLimit limit, Instant now) {
        return new UpstreamView(limit, UNREACHABLE_AFTER_MISSED_REPORTS, 0, 0, now, now);
    }

    UpstreamView withBounds(LimitBounds bounds) {
        return withLimit(limit.withBounds(bounds));
    }

    /** Falls back to the cold limit at once. */
    UpstreamView turnedCold(Instant now) {
        return new UpstreamView(
                limit.resetToCold(), missedLoadReports, incarnation, inheritedRequests, lastRequestChange, now);
    }

    /**
     * Learns that a request was answered. Answers of a cold upstream say nothing about what it bears when warm, and a
     * report that shows it warm may be older than its fall, so the limit stays until no sign of a cold start was seen
     * for longer than reports lag.
     */
    UpstreamView responseReceived(Duration latency, int inFlight, Instant now) {
        boolean warm = Duration.between(lastColdSign, now).compareTo(MAX_REPORT_LAG) > 0;
        return warm ? withLimit(limit.responseReceived(latency, inFlight)) : this;
    }

    UpstreamView requestsChanged(Instant now) {
        return new UpstreamView(limit, missedLoadReports, incarnation, inheritedRequests, now, lastColdSign);
    }

    /**
     * Tells whether the upstream answers when asked for its load.
     *
     * @return whether it can be reached
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
     * Takes in a report. It may lower the limit and the number of requests that an earlier life left behind; it never
     * raises the limit.
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

    /** How many requests may run beside the present ones. */
    int freeSlots(int ownRequests) {
        return isReachable() ? limit.current() - inheritedRequests - ownRequests : 0;
    }

    private UpstreamView withLimit(ConcurrencyLimit next) {
        return new UpstreamView(
                next, missedLoadReports, incarnation, inheritedRequests, lastRequestChange, lastColdSign);
    }
}
