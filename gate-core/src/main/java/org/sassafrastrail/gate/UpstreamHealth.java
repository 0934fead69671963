package org.sassafrastrail.gate;

import java.time.Instant;

/**
 * What the attempts of this gateway show of an upstream's health.
 *
 * @param consecutiveFailures the number of attempts without a usable response since the last one with a response or since
 *     the last ejection; a response with an error status counts as a response, and declined requests are not counted
 * @param ejectedUntil when its ejection for failures ends, {@link Instant#MIN} if it is not ejected
 */
record UpstreamHealth(int consecutiveFailures, Instant ejectedUntil) {

    static final UpstreamHealth SOUND = new UpstreamHealth(0, Instant.MIN);

    UpstreamHealth succeeded() {
        return new UpstreamHealth(0, ejectedUntil);
    }

    UpstreamHealth failed() {
        return new UpstreamHealth(consecutiveFailures + 1, ejectedUntil);
    }

    boolean isEjected(Instant now) {
        return now.isBefore(ejectedUntil);
    }
}
