package org.sassafrastrail.gate;

/**
 * The upstream capacity that a gateway saw when it decided on a request.
 *
 * @param eligible the number of upstreams that were eligible for the request
 * @param withHeadroom the number of those that had capacity for it
 * @param minPendingPrefillTokens the fewest pending prefill tokens at an eligible upstream, 0 if none is eligible
 * @param gateways the number of gateways assumed to share the upstreams
 * @param connectedGateways the number of those that are connected, including this one
 */
public record CapacitySnapshot(
        int eligible, int withHeadroom, long minPendingPrefillTokens, int gateways, int connectedGateways) {}
