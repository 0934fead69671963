package org.sassafrastrail.messages;

import java.util.List;

/**
 * From a gateway to its peers: what it has at upstreams.
 *
 * @param full whether it replaces all that it said before, or that of the same upstreams and accounts
 * @param loads the upstreams at which it has anything, or had before
 * @param accounts what client accounts asked and got there lately
 */
public record LoadReport(boolean full, List<UpstreamLoad> loads, List<AccountUsage> accounts) implements Message {}
