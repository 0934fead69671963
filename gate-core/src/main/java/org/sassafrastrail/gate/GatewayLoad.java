package org.sassafrastrail.gate;

/**
 * The load that one or more gateways put on an upstream.
 *
 * @param running the number of their requests that it is running
 * @param pendingPrefillTokens the estimated prompt tokens of their requests that it still has to prefill
 */
public record GatewayLoad(int running, long pendingPrefillTokens) {

    static final GatewayLoad NONE = new GatewayLoad(0, 0);

    GatewayLoad minus(GatewayLoad other) {
        return new GatewayLoad(running - other.running, pendingPrefillTokens - other.pendingPrefillTokens);
    }

    GatewayLoad plus(GatewayLoad other) {
        return new GatewayLoad(running + other.running, pendingPrefillTokens + other.pendingPrefillTokens);
    }
}
