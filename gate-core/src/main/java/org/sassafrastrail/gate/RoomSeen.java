package org.sassafrastrail.gate;

/**
 * The room at upstreams as a gateway saw it when it decided on a request.
 *
 * @param usable the upstreams that might get the request
 * @param admitting those of them that had room for it
 * @param leastTokensAhead the tokens ahead at the one that has least, 0 without any
 * @param gateways how many gateways are taken to share the upstreams
 * @param heard how many of them it hears from, itself included
 */
public record RoomSeen(int usable, int admitting, long leastTokensAhead, int gateways, int heard) {}
