package org.sassafrastrail.duty;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * The requests that began to run, by window, gateway run and client account. What a gateway run tells is cumulative, so a
 * message that is repeated or comes late changes nothing, and the next one makes up for a lost one.
 *
 * @param windows the counts by window
 */
public record UsageCounts(TreePMap<Long, PMap<DutyHolder, PMap<String, Long>>> windows) {

    /** No counts. */
    public static final UsageCounts NONE = new UsageCounts(TreePMap.empty());

    /** The windows that are kept, which bounds the memory while no report can be agreed on. */
    public static final int MAX_WINDOWS = 24;

    /**
     * Merges what a gateway run told of a window.
     *
     * @param window the number of the window
     * @param gateway the gateway run
     * @param counts its cumulative counts in that window
     * @return the new counts
     */
    public UsageCounts with(long window, DutyHolder gateway, Map<String, Long> counts) {
        PMap<DutyHolder, PMap<String, Long>> ofWindow = windows.getOrDefault(window, HashTreePMap.empty());
        PMap<String, Long> merged = ofWindow.getOrDefault(gateway, HashTreePMap.empty());
        for (Map.Entry<String, Long> count : counts.entrySet()) {
            merged = merged.plus(count.getKey(), Math.max(count.getValue(), merged.getOrDefault(count.getKey(), 0L)));
        }
        TreePMap<Long, PMap<DutyHolder, PMap<String, Long>>> next =
                windows.plus(window, ofWindow.plus(gateway, merged));
        return new UsageCounts(next.size() > MAX_WINDOWS ? next.minus(next.firstKey()) : next);
    }

    /**
     * Drops windows that need no more counts.
     *
     * @param window the last window to drop
     * @return the remaining counts
     */
    public UsageCounts withoutThrough(long window) {
        return windows.isEmpty() || windows.firstKey() > window
                ? this
                : new UsageCounts(windows.minusAll(windows.headMap(window, true).keySet()));
    }

    /**
     * Adds up the counts of a window over all gateway runs.
     *
     * @param window the number of the window
     * @return the report of the window
     */
    public UsageReport report(long window) {
        SortedMap<String, Long> totals = new TreeMap<>();
        windows.getOrDefault(window, HashTreePMap.empty())
                .values()
                .forEach(counts -> counts.forEach((account, count) -> totals.merge(account, count, Long::sum)));
        return new UsageReport(window, totals);
    }
}
