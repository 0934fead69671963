package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The time in which an upstream is cold, and what this gateway sent it in that time.
 *
 * @param until when the upstream stops being cold
 * @param dispatches the times of the dispatches within the last second
 */
record ColdPeriod(Instant until, PVector<Instant> dispatches) {

    private static final Duration WINDOW = Duration.ofSeconds(1);

    static ColdPeriod starting(Duration length, Instant now) {
        return new ColdPeriod(now.plus(length), TreePVector.empty());
    }

    /** Sets a new end. What was sent before still counts. */
    ColdPeriod restarted(Duration length, Instant now) {
        return new ColdPeriod(now.plus(length), dispatches);
    }

    ColdPeriod dispatched(Instant now) {
        return new ColdPeriod(
                until, isOver(now) ? TreePVector.empty() : recentDispatches(now).plus(now));
    }

    boolean isOver(Instant now) {
        return !now.isBefore(until);
    }

    PVector<Instant> recentDispatches(Instant now) {
        return TreePVector.from(dispatches.stream()
                .filter(dispatchedAt -> Duration.between(dispatchedAt, now).compareTo(WINDOW) <= 0)
                .toList());
    }
}
