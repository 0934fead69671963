package org.sassafrastrail.messages;

import java.util.List;

/**
 * From a router: what waits there. Replaces what was said before of the accounts that it names.
 *
 * @param accounts the accounts whose demand changed
 */
public record Demand(List<AccountDemand> accounts) implements Message {}
