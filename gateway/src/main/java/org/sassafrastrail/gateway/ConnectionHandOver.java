package org.sassafrastrail.gateway;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Supplier;

import org.sassafrastrail.gate.rotation.Rotation;

/**
 * Spreads the closing of callers' connections over time while this gateway is out of rotation, so that their callers connect to
 * other gateways one after the other. Used by one I/O thread.
 */
final class ConnectionHandOver {

    private final Supplier<Rotation> rotation;
    private final Clock clock;
    private Instant lastClosedAt = Instant.MIN;

    ConnectionHandOver(Supplier<Rotation> rotation, Clock clock) {
        this.rotation = rotation;
        this.clock = clock;
    }

    /** Returns whether the connection of the response that is about to be written is to be closed after it. */
    boolean closesNext() {
        Instant now = clock.instant();
        Optional<Duration> interval = rotation.get().handOverInterval(now);
        boolean due =
                interval.filter(time -> !now.isBefore(lastClosedAt.plus(time))).isPresent();
        if (due) {
            lastClosedAt = now;
        }
        return due;
    }
}
