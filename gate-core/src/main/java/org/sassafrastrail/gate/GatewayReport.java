package org.sassafrastrail.gate;

import java.util.Map;

/**
 * The report of a gateway on its own load and client accounts, which it sends to its peers.
 *
 * @param full whether this is a full report, or an incremental one with the changes since the report before
 * @param loads the gateway's load at upstreams, {@link GatewayLoad#NONE} where an earlier load has ended
 * @param accounts the tokens that each client account recently requested and was served there
 */
public record GatewayReport(
        boolean full, Map<UpstreamIdentifier, GatewayLoad> loads, Map<String, AccountTokens> accounts) {

    /** The full report of a gateway without load and accounts. */
    static final GatewayReport NOTHING = new GatewayReport(true, Map.of(), Map.of());

    boolean isEmpty() {
        return loads.isEmpty() && accounts.isEmpty();
    }
}
