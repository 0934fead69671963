package org.sassafrastrail.load;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/** Accumulates the request outcomes of one client account on one path and formats them as a line of the report. */
final class AccountReport {

    private static final long MAX_MICROSECONDS = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROSECONDS_PER_MILLISECOND = 1000;
    private static final double PERCENTILE_50 = 50;
    private static final double PERCENTILE_95 = 95;

    private final Histogram timeToFirstToken = new Histogram(MAX_MICROSECONDS, SIGNIFICANT_DIGITS);
    private final Histogram timeBetweenTokens = new Histogram(MAX_MICROSECONDS, SIGNIFICANT_DIGITS);
    private final Map<String, Integer> problems = new TreeMap<>();
    private long completeResponses;
    private long requests;
    private long tokens;

    synchronized void add(RequestOutcome outcome) {
        requests++;
        if (outcome.kind() == RequestOutcome.Kind.WHOLE) {
            completeResponses++;
            tokens += outcome.tokens();
            timeToFirstToken.recordValue(outcome.firstTokenNanoseconds() / 1000);
            timeBetweenTokens.recordValue(outcome.meanTokenIntervalNanoseconds() / 1000);
        } else {
            problems.merge(outcome.kind() + "/" + outcome.detail(), 1, Integer::sum);
        }
    }

    synchronized boolean isComplete() {
        return completeResponses == requests;
    }

    synchronized String formatLine(String account, String path) {
        return String.format(
                Locale.ROOT,
                "%-28s %-34s %6d of %6d whole %8d tokens  first ms %8.2f / %8.2f  between ms %7.3f / %7.3f  %s",
                account,
                path,
                completeResponses,
                requests,
                tokens,
                timeToFirstToken.getValueAtPercentile(PERCENTILE_50) / MICROSECONDS_PER_MILLISECOND,
                timeToFirstToken.getValueAtPercentile(PERCENTILE_95) / MICROSECONDS_PER_MILLISECOND,
                timeBetweenTokens.getValueAtPercentile(PERCENTILE_50) / MICROSECONDS_PER_MILLISECOND,
                timeBetweenTokens.getValueAtPercentile(PERCENTILE_95) / MICROSECONDS_PER_MILLISECOND,
                problems.isEmpty() ? "" : problems);
    }
}
