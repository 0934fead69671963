package org.sassafrastrail.messages;

import java.util.List;

/**
 * Reports the load that a gateway puts on upstreams and the recent usage of its client accounts, sent to its peers.
 *
 * @param full whether this is a full report, which replaces all earlier ones, or an incremental report, which replaces
 *     only the values of the upstreams and accounts that it lists
 * @param loads the load per upstream, zero where an earlier load has ended
 * @param accounts the tokens that each client account recently requested and was served
 */
public record LoadReport(boolean full, List<UpstreamLoad> loads, List<AccountUsage> accounts) implements Message {}
