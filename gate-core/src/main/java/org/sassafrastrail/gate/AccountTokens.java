package org.sassafrastrail.gate;

/**
 * What a client account asked and got lately at one gateway, as it counts at that moment.
 *
 * @param requested the tokens that its requests asked for
 * @param served the tokens of its requests that were sent to upstreams
 */
public record AccountTokens(long requested, long served) {}
