package org.sassafrastrail.messages;

import java.util.List;

/**
 * Reports the queued requests of client accounts, sent by a router. Each entry replaces the previous one of its account;
 * accounts without an entry are unchanged.
 *
 * @param accounts the accounts whose demand has changed
 */
public record Demand(List<AccountDemand> accounts) implements Message {}
