package org.sassafrastrail.gate;

/**
 * The tokens that a client account recently requested and was served at one gateway, decayed to the time of the report.
 *
 * @param requested the tokens that its requests asked for
 * @param served the tokens of its requests that were sent to upstreams
 */
public record AccountTokens(long requested, long served) {}
