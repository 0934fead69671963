package org.sassafrastrail.gate;

/**
 * The room at upstreams as a gateway saw it when it decided on a request.
 *
 * @param eligible the upstreams that might get the request
 * @param withHeadroom those of them that had room for it
 * @param minPendingPrefillTokens the tokens ahead at the one that has least, 0 without any
 * @param gateways how many gateways are taken to share the upstreams
 * @param connectedGateways how many of them it hears from, itself included
 */
public record CapacitySnapshot(
        int eligible, int withHeadroom, long minPendingPrefillTokens, int gateways, int connectedGateways) {}
