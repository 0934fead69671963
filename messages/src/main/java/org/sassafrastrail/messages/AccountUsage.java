package org.sassafrastrail.messages;

/**
 * What a client account asked and got lately at a gateway.
 *
 * @param account the account's name
 * @param requested the tokens that its requests asked for, as they count now
 * @param served the tokens of its requests that were sent to upstreams, as they count now
 */
public record AccountUsage(String account, long requested, long served) {}
