package org.sassafrastrail.messages;

/**
 * What a client account asked and got lately at a gateway.
 *
 * @param account the account's name
 * @param asked the tokens that its requests asked for, as they count now
 * @param got the tokens of its requests that were sent to upstreams, as they count now
 */
public record AccountUse(String account, long asked, long got) {}
