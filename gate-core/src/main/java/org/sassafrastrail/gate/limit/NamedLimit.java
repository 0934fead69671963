package org.sassafrastrail.gate.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.OptionalDouble;

/**
 * What an upstream last said of a limit on its requests.
 *
 * @param requestsPerSecond the requests a second that it takes from all gateways together, empty if it has no limit any more
 * @param heardAt when it said so
 * @param sharedAt when the peers were last to be told, or told this gateway
 */
public record NamedLimit(OptionalDouble requestsPerSecond, Instant heardAt, Instant sharedAt) {

    /** An upstream that gets nothing could never say that its limit is over. */
    private static final double MIN_PERMITS_PER_SECOND = 0.25;

    /** How long a limit is kept of an upstream that is not registered: it may be again, or this gateway may have just started. */
    private static final Duration RETENTION = Duration.ofMinutes(1);

    /** How long the peers may believe an older time at which the limit was named. */
    private static final Duration SHARING_INTERVAL = Duration.ofSeconds(1);

    boolean isInForce() {
        return requestsPerSecond.isPresent();
    }

    /**
     * Returns the requests a second that the gateways may send together.
     *
     * @return the limit, or a small number where the upstream takes less
     */
    public double permitsPerSecond() {
        return Math.max(MIN_PERMITS_PER_SECOND, requestsPerSecond.orElse(Double.POSITIVE_INFINITY));
    }

    /** Returns whether the limit of an upstream that is not registered can be forgotten. */
    boolean isExpired(Instant now) {
        Instant learnedAt = sharedAt.isAfter(heardAt) ? sharedAt : heardAt;
        return !now.isBefore(learnedAt.plus(RETENTION));
    }

    boolean isSharingDue(Instant now) {
        return !now.isBefore(sharedAt.plus(SHARING_INTERVAL));
    }
}
