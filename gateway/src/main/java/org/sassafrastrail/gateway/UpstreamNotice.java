package org.sassafrastrail.gateway;

/**
 * What the head of a response says of the upstream itself and not of the request.
 *
 * @param draining whether the upstream is draining and wants no more requests
 */
public record UpstreamNotice(boolean draining) {}
