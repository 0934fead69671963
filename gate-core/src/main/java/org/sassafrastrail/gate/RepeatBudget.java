package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Counts the requests and the repeats for a target over a sliding window, so that repeats stay a small share.
 *
 * @param seconds the counts of each second, oldest first
 */
record RepeatBudget(PVector<Second> seconds) {

    static final RepeatBudget EMPTY = new RepeatBudget(TreePVector.empty());

    /** Somewhat shorter than the window over which repeats are judged for requests, so that none counts too long. */
    private static final Duration REQUEST_WINDOW = Duration.ofSeconds(9);

    private static final Duration REPEAT_WINDOW = Duration.ofSeconds(11);

    /** What was counted in one second. */
    record Second(long second, int requests, int repeats) {}

    RepeatBudget request(Instant now) {
        return counted(now, 1, 0);
    }

    RepeatBudget repeat(Instant now) {
        return counted(now, 0, 1);
    }

    private RepeatBudget counted(Instant now, int requests, int repeats) {
        long second = now.getEpochSecond();
        int last = seconds.size() - 1;
        if (last >= 0 && seconds.get(last).second() == second) {
            Second current = seconds.get(last);
            return new RepeatBudget(
                    seconds.with(last, new Second(second, current.requests() + requests, current.repeats() + repeats)));
        }
        PVector<Second> recent = TreePVector.from(seconds.stream()
                .filter(count -> count.second() >= second - REPEAT_WINDOW.toSeconds())
                .toList());
        return new RepeatBudget(recent.plus(new Second(second, requests, repeats)));
    }

    boolean allows(Instant now, double share, double extra) {
        long second = now.getEpochSecond();
        int requests = seconds.stream()
                .filter(count -> count.second() > second - REQUEST_WINDOW.toSeconds())
                .mapToInt(Second::requests)
                .sum();
        int repeats = seconds.stream()
                .filter(count -> count.second() >= second - REPEAT_WINDOW.toSeconds())
                .mapToInt(Second::repeats)
                .sum();
        return repeats + 1 <= requests * share + extra;
    }
}
