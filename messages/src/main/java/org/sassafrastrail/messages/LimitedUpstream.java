package org.sassafrastrail.messages;

import java.util.OptionalDouble;

/**
 * What an upstream said of a limit on its requests.
 *
 * @param upstream the identifier of the upstream
 * @param startedAtMillis the start of the upstream in wall-clock milliseconds, 0 if unknown
 * @param requestsPerSecond the requests a second that it takes from all gateways together, empty if it has no limit any more
 * @param ageMilliseconds the time since a gateway heard it
 */
public record LimitedUpstream(
        String upstream, long startedAtMillis, OptionalDouble requestsPerSecond, long ageMilliseconds) {}
