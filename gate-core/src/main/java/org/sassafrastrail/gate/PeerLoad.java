package org.sassafrastrail.gate;

/**
 * What other gateways have at an upstream.
 *
 * @param running how many of their requests run there
 * @param pendingPrefillTokens the tokens of their prompts that it is believed still to read
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
