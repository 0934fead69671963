package org.sassafrastrail.gate;

import java.util.Map;

/**
 * What a gateway tells the others of itself.
 *
 * @param full whether it is all there is to tell, or what changed since the report before
 * @param loads what it has at upstreams; nothing at all where it had something before
 * @param accounts what each client account asked and got there lately
 */
public record GatewayReport(
        boolean full, Map<UpstreamIdentifier, PeerLoad> loads, Map<String, AccountTokens> accounts) {

    /** The whole report of a gateway that has nothing. */
    static final GatewayReport NOTHING = new GatewayReport(true, Map.of(), Map.of());

    boolean isEmpty() {
        return loads.isEmpty() && accounts.isEmpty();
    }
}
