package org.sassafrastrail.gate.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * The permits that this gateway has for one limited upstream. One that is not used soon expires, because others are issued in
 * the time that follows.
 *
 * @param permits the number of unused permits
 * @param expiresAt when they expire
 * @param askedAt when a permit was asked for that has not been answered, empty if none is
 * @param closedUntil until when none can be had
 */
public record PermitStock(int permits, Instant expiresAt, Optional<Instant> askedAt, Instant closedUntil) {

    /** No permit, and none was asked for. */
    public static final PermitStock EMPTY = new PermitStock(0, Instant.MIN, Optional.empty(), Instant.MIN);

    /** How long a permit can be used. */
    private static final Duration LIFETIME = Duration.ofMillis(300);

    /** Longer than a permit request and its answer take between two gateways that keep up. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(100);

    /** How long an upstream gets nothing of this gateway after a permit request without an answer. */
    private static final Duration UNANSWERED_CLOSURE = Duration.ofMillis(250);

    /** The time between two permits at the smallest limit; a longer one is out of date before it has passed. */
    private static final Duration MAX_CLOSURE = Duration.ofSeconds(4);

    /** Whether a request can be sent to the upstream. */
    public enum Status {
        /** There is a permit. */
        OPEN,
        /** A permit can be asked for. */
        ASKABLE,
        /** A permit has been asked for. */
        ASKED,
        /** No permit can be had for now. */
        CLOSED
    }

    /**
     * Returns whether a request can be sent to the upstream.
     *
     * @param now the time
     * @return the status
     */
    public Status status(Instant now) {
        if (permits > 0 && now.isBefore(expiresAt)) {
            return Status.OPEN;
        }
        if (askedAt.filter(asked -> now.isBefore(asked.plus(ANSWER_TIMEOUT))).isPresent()) {
            return Status.ASKED;
        }
        return now.isBefore(availableAt()) ? Status.CLOSED : Status.ASKABLE;
    }

    /**
     * Returns when a permit can be asked for again.
     *
     * @return the time, in the past if one can be asked for now
     */
    public Instant availableAt() {
        Instant answerable = askedAt.map(asked -> asked.plus(ANSWER_TIMEOUT).plus(UNANSWERED_CLOSURE))
                .orElse(Instant.MIN);
        return answerable.isAfter(closedUntil) ? answerable : closedUntil;
    }

    /**
     * Forgets until when none could be had.
     *
     * @return the stock
     */
    PermitStock reopened() {
        return new PermitStock(permits, expiresAt, askedAt, Instant.MIN);
    }

    /**
     * Uses one of the permits.
     *
     * @return the stock
     */
    public PermitStock used() {
        return new PermitStock(permits - 1, expiresAt, askedAt, closedUntil);
    }

    /**
     * Records that a permit was asked for.
     *
     * @param now the time
     * @return the stock
     */
    public PermitStock asked(Instant now) {
        return new PermitStock(0, expiresAt, Optional.of(now), closedUntil);
    }

    /**
     * Records the answer to a permit request. One that comes when no request waits for it means nothing: answers that
     * were held up on a link would otherwise be used all at once.
     *
     * @param granted whether it was granted
     * @param delay the time until another one can be had, if it was not
     * @param now the time
     * @return the stock
     */
    public PermitStock answered(boolean granted, Duration delay, Instant now) {
        if (askedAt.isEmpty()) {
            return this;
        }
        int unused = now.isBefore(expiresAt) ? permits : 0;
        return granted
                ? new PermitStock(unused + 1, now.plus(LIFETIME), Optional.empty(), closedUntil)
                : new PermitStock(unused, expiresAt, Optional.empty(), now.plus(closure(delay)));
    }

    private static Duration closure(Duration delay) {
        return delay.compareTo(MAX_CLOSURE) < 0 ? delay : MAX_CLOSURE;
    }
}
