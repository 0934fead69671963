package org.sassafrastrail.duty;

import java.util.List;
import java.util.Optional;

import org.pcollections.TreePMap;

/**
 * The reports from the agreement on their content until they are sent, in the order of their windows. A report is sent only
 * after its content is in the store, so that each repeat has the same content, whichever gateway sends it.
 *
 * @param sentThrough the last window whose report was accepted
 * @param agreed the agreed reports that the store still has, by window
 */
public record ReportQueue(long sentThrough, TreePMap<Long, AgreedReport> agreed) {

    /** The reports that are kept in the store after they were sent. A store that comes back from an older copy needs no more. */
    private static final int KEPT_REPORTS = 3;

    /** Longer gaps are not made up for: of the windows whose counts are kept, the last two are not complete. */
    private static final int MAX_BACKLOG = UsageCounts.MAX_WINDOWS - 2;

    /**
     * A report whose content is in the store.
     *
     * @param report the report
     * @param version the version of its row
     */
    public record AgreedReport(UsageReport report, long version) {}

    /**
     * Creates the queue of a gateway that has taken the duty.
     *
     * @param sentThrough the last window that is known to be sent, 0 if none is
     * @param stored the reports in the store
     * @param first the window with which reports begin if none was ever sent or agreed on
     * @return the queue
     */
    public static ReportQueue takenOver(long sentThrough, List<AgreedReport> stored, long first) {
        TreePMap<Long, AgreedReport> agreed = TreePMap.empty();
        for (AgreedReport report : stored) {
            agreed = agreed.plus(report.report().window(), report);
        }
        long before = agreed.isEmpty() ? first - 1 : agreed.firstKey() - 1;
        return new ReportQueue(sentThrough == 0 ? before : sentThrough, agreed);
    }

    /**
     * Lets the reports begin with an earlier window, while none was agreed on. Counts of peers may arrive after the duty was taken.
     *
     * @param first the first window with counts
     * @return the queue
     */
    public ReportQueue beginningAt(long first) {
        return agreed.isEmpty() && first <= sentThrough ? new ReportQueue(first - 1, agreed) : this;
    }

    /**
     * Returns the window whose report has to be agreed on next.
     *
     * @param lastCollected the last window of which all counts have been collected
     * @return the window, empty if none is due
     */
    public Optional<Long> nextToAgree(long lastCollected) {
        long last = agreed.isEmpty() ? sentThrough : Math.max(sentThrough, agreed.lastKey());
        long next = Math.max(last + 1, lastCollected - MAX_BACKLOG + 1);
        return next <= lastCollected ? Optional.of(next) : Optional.empty();
    }

    /**
     * Returns the report to send next.
     *
     * @return the report, empty if all agreed ones were sent
     */
    public Optional<UsageReport> nextToSend() {
        return Optional.ofNullable(agreed.higherEntry(sentThrough))
                .map(entry -> entry.getValue().report());
    }

    /**
     * Returns a report that the store need not keep.
     *
     * @param recordedThrough the last sent window according to the row of the lease
     * @return the report, empty if there is none
     */
    public Optional<AgreedReport> obsolete(long recordedThrough) {
        return agreed.isEmpty() || agreed.firstKey() > recordedThrough - KEPT_REPORTS
                ? Optional.empty()
                : Optional.of(agreed.firstEntry().getValue());
    }

    /**
     * Records that the content of a report is in the store.
     *
     * @param report the report
     * @return the new queue
     */
    public ReportQueue withAgreed(AgreedReport report) {
        return new ReportQueue(sentThrough, agreed.plus(report.report().window(), report));
    }

    /**
     * Records that a report was accepted.
     *
     * @param window its window
     * @return the new queue
     */
    public ReportQueue withSent(long window) {
        return new ReportQueue(Math.max(sentThrough, window), agreed);
    }

    /**
     * Forgets a report that the store no longer has.
     *
     * @param window its window
     * @return the new queue
     */
    public ReportQueue without(long window) {
        return new ReportQueue(sentThrough, agreed.minus(window));
    }
}
