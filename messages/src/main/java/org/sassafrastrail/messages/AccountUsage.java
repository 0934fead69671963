package org.sassafrastrail.messages;

/**
 * The tokens that a client account recently requested and was served at a gateway, decayed to the time of the report.
 *
 * @param account the name of the account
 * @param requested the tokens that its requests asked for
 * @param served the tokens of its requests that were sent to upstreams
 */
public record AccountUsage(String account, long requested, long served) {}
