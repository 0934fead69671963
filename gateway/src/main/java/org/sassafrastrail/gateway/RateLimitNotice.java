package org.sassafrastrail.gateway;

import java.util.OptionalDouble;

/**
 * What the head of a response says of a limit on the requests of its upstream.
 *
 * @param requestsPerSecond the requests a second that it takes from all gateways together, empty if it names no limit
 * @param invalid whether it names one in a form that cannot be understood, which means nothing
 */
public record RateLimitNotice(OptionalDouble requestsPerSecond, boolean invalid) {

    /** No limit is named. */
    public static final RateLimitNotice NONE = new RateLimitNotice(OptionalDouble.empty(), false);

    /** A limit is named in a form that cannot be understood. */
    public static final RateLimitNotice INVALID = new RateLimitNotice(OptionalDouble.empty(), true);
}
