package org.sassafrastrail.sidecar.core;

import java.time.Duration;
import java.time.Instant;

/**
 * What the sidecar knows of its upstream.
 *
 * @param limit how many requests it may run at once
 * @param missedReports how many reports in a row it has missed; from two on it counts as unreachable
 * @param incarnation its last known life, 0 for unknown
 * @param foreign how many requests may run there that an earlier life of the sidecar began
 * @param lastChange when the sidecar last began or ended a request
 * @param lastCold when the upstream last showed a sign of a cold start
 */
public record UpstreamView(
        ConcurrencyLimit limit,
        int missedReports,
        long incarnation,
        int foreign,
        Instant lastChange,
        Instant lastCold) {

    /** A single missed report may be a slow one. */
    private static final int UNREACHABLE = 2;

    /** Reports lag by less than this. */
    private static final Duration LONGEST_LAG = Duration.ofSeconds(2);

    static UpstreamView unknown(ConcurrencyLimit limit, Instant now) {
        return new UpstreamView(limit, UNREACHABLE, 0, 0, now, now);
    }

    UpstreamView within(LimitBounds bounds) {
        return with(limit.within(bounds));
    }

    /** Falls back to the cold limit at once. */
    UpstreamView turnedCold(Instant now) {
        return new UpstreamView(limit.cold(), missedReports, incarnation, foreign, lastChange, now);
    }

    /**
     * Learns that a request was answered. Answers of a cold upstream say nothing about what it bears when warm, and a
     * report that shows it warm may be older than its fall, so the limit stays until no sign of a cold start was seen
     * for longer than reports lag.
     */
    UpstreamView answered(Duration latency, int inFlight, Instant now) {
        boolean warm = Duration.between(lastCold, now).compareTo(LONGEST_LAG) > 0;
        return warm ? with(limit.answered(latency, inFlight)) : this;
    }

    UpstreamView changed(Instant now) {
        return new UpstreamView(limit, missedReports, incarnation, foreign, now, lastCold);
    }

    /**
     * Tells whether the upstream answers when asked for its load.
     *
     * @return whether it can be reached
     */
    public boolean reachable() {
        return missedReports < UNREACHABLE;
    }

    UpstreamView missed(Instant now) {
        UpstreamView view = missedReports + 1 >= UNREACHABLE ? turnedCold(now) : this;
        return new UpstreamView(view.limit, missedReports + 1, incarnation, foreign, lastChange, view.lastCold);
    }

    /**
     * Takes in a report. It may lower the limit and the number of requests that an earlier life left behind; it never
     * raises the limit.
     */
    UpstreamView reported(SidecarEvent.LoadReported report, int ownRequests, Instant now) {
        boolean first = incarnation == 0;
        boolean restarted = !first && report.incarnation() != incarnation;
        boolean settled = Duration.between(lastChange, now).compareTo(LONGEST_LAG) > 0;
        int left = Math.max(0, report.running() - ownRequests);
        int lower = settled ? Math.min(foreign, left) : foreign;
        UpstreamView view = restarted || report.cold() ? turnedCold(now) : this;
        return new UpstreamView(view.limit, 0, report.incarnation(), first ? left : lower, lastChange, view.lastCold);
    }

    /** How many requests may run beside the present ones. */
    int free(int ownRequests) {
        return reachable() ? limit.current() - foreign - ownRequests : 0;
    }

    private UpstreamView with(ConcurrencyLimit next) {
        return new UpstreamView(next, missedReports, incarnation, foreign, lastChange, lastCold);
    }
}
