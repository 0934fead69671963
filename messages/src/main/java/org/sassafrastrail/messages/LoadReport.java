package org.sassafrastrail.messages;

import java.util.List;

/**
 * From a gateway to its peers: what it has at upstreams. Replaces what it said before.
 *
 * @param loads the upstreams at which it has anything
 * @param accounts what client accounts asked and got there lately
 */
public record LoadReport(List<UpstreamLoad> loads, List<AccountUse> accounts) implements Message {}
