package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * The times of a graceful shutdown, counted from its beginning. Any request is admitted for the first part of it, and
 * after that one that expires before the process ends. Each admitted one has its final response before the process ends.
 *
 * @param admission how long any request is admitted, which gives the platform time to send callers elsewhere
 * @param minimum how long open connections are served at least
 * @param lastResponse when requests without a final response expire
 * @param maximum when the process exits even if requests are still running
 */
public record DrainSchedule(Duration admission, Duration minimum, Duration lastResponse, Duration maximum) {

    /** Returns whether a new request is admitted. */
    boolean admits(CallDescription call, Optional<Instant> stoppingSince, Instant now) {
        return stoppingSince
                .map(since ->
                        now.isBefore(since.plus(admission)) || !call.expiresAt().isAfter(since.plus(lastResponse)))
                .orElse(true);
    }

    /** Returns when a request must have its final response. */
    Instant expiresAt(CallDescription call, Optional<Instant> stoppingSince) {
        return stoppingSince
                .map(since -> since.plus(lastResponse))
                .filter(last -> last.isBefore(call.expiresAt()))
                .orElseGet(call::expiresAt);
    }

    /** Returns whether the process may exit. */
    boolean isDrained(GatewayState state, Instant now) {
        return state.stoppingSince()
                .map(since -> Duration.between(since, now))
                .filter(passed ->
                        passed.compareTo(maximum) >= 0 || state.calls().isEmpty() && passed.compareTo(minimum) >= 0)
                .isPresent();
    }
}
