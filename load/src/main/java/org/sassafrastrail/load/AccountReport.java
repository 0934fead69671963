package org.sassafrastrail.load;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/** What one client account got on one path. */
final class AccountReport {

    private static final long HIGHEST_MICROSECONDS = 3_600_000_000L;
    private static final int DIGITS = 3;
    private static final double MILLISECOND_MICROSECONDS = 1000;
    private static final double MEDIAN = 50;
    private static final double NINETY_FIVE = 95;

    private final Histogram first = new Histogram(HIGHEST_MICROSECONDS, DIGITS);
    private final Histogram between = new Histogram(HIGHEST_MICROSECONDS, DIGITS);
    private final Map<String, Integer> problems = new TreeMap<>();
    private long whole;
    private long requests;
    private long tokens;

    synchronized void add(CallOutcome outcome) {
        requests++;
        if (outcome.kind() == CallOutcome.Kind.WHOLE) {
            whole++;
            tokens += outcome.tokens();
            first.recordValue(outcome.firstNanoseconds() / 1000);
            between.recordValue(outcome.betweenNanoseconds() / 1000);
        } else {
            problems.merge(outcome.kind() + "/" + outcome.detail(), 1, Integer::sum);
        }
    }

    synchronized boolean isWhole() {
        return whole == requests;
    }

    synchronized String line(String account, String path) {
        return String.format(
                Locale.ROOT,
                "%-28s %-34s %6d of %6d whole %8d tokens  first ms %8.2f / %8.2f  between ms %7.3f / %7.3f  %s",
                account,
                path,
                whole,
                requests,
                tokens,
                first.getValueAtPercentile(MEDIAN) / MILLISECOND_MICROSECONDS,
                first.getValueAtPercentile(NINETY_FIVE) / MILLISECOND_MICROSECONDS,
                between.getValueAtPercentile(MEDIAN) / MILLISECOND_MICROSECONDS,
                between.getValueAtPercentile(NINETY_FIVE) / MILLISECOND_MICROSECONDS,
                problems.isEmpty() ? "" : problems);
    }
}
