package org.sassafrastrail.duty;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The usage of a window, as it is reported.
 *
 * @param window the number of the window
 * @param counts the number of requests of each client account that began to run in it, sorted so that equal reports have equal
 *     bytes
 */
public record UsageReport(long window, SortedMap<String, Long> counts) {

    /** Copies the counts. */
    public UsageReport {
        counts = Collections.unmodifiableSortedMap(new TreeMap<>(counts));
    }
}
