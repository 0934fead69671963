package org.sassafrastrail.messages;

/**
 * What one client account got lately at one gateway.
 *
 * @param account the account's name
 * @param tokens the tokens, faded to the moment of the report
 */
public record AccountUse(String account, long tokens) {}
