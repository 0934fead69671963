package org.sassafrastrail.gate;

/**
 * The load that one or more gateways put on an upstream.
 *
 * @param running the number of their requests that it is running
 * @param pendingPrefillTokens the estimated prompt tokens of their requests that it still has to prefill
 */
public record PeerLoad(int running, long pendingPrefillTokens) {

    static final PeerLoad NONE = new PeerLoad(0, 0);

    PeerLoad minus(PeerLoad other) {
        return new PeerLoad(running - other.running, pendingPrefillTokens - other.pendingPrefillTokens);
    }

    PeerLoad plus(PeerLoad other) {
        return new PeerLoad(running + other.running, pendingPrefillTokens + other.pendingPrefillTokens);
    }
}
