package org.sassafrastrail.messages;

/**
 * The client account whose turn it is at a gateway: of those that wait there for a target, the one that got least.
 *
 * @param target the service or model
 * @param account the account
 */
public record AccountTurn(String target, String account) {}
