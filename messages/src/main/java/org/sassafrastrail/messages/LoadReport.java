package org.sassafrastrail.messages;

import java.util.List;

/**
 * From a gateway to its peers: what it has at upstreams. Replaces what it said before.
 *
 * @param loads the upstreams at which it has anything
 * @param accounts what client accounts got there lately
 * @param turns whose turn it is there, for each target that is waited for
 */
public record LoadReport(List<UpstreamLoad> loads, List<AccountUse> accounts, List<AccountTurn> turns)
        implements Message {}
