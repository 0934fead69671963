package org.sassafrastrail.messages;

/**
 * Asks another gateway for a permit to send one request to an upstream with a limit.
 *
 * @param upstream the upstream, with its limit as the sender knows it
 */
public record PermitRequest(LimitedUpstream upstream) implements Message {}
