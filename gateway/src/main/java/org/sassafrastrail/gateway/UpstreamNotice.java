package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.Optional;

/**
 * What the head of a response says of the upstream itself and not of the request.
 *
 * @param draining whether the upstream is draining and wants no more requests
 * @param pause for how long it wants no more requests, empty if it does not say so
 * @param pauseInvalid whether it says so in a form that cannot be understood, which means nothing
 */
public record UpstreamNotice(boolean draining, Optional<Duration> pause, boolean pauseInvalid) {}
