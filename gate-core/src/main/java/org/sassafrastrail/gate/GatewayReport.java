package org.sassafrastrail.gate;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What a gateway tells the others of itself. Replaces what it said before.
 *
 * @param loads what it has at upstreams
 * @param accounts what each client account asked and got there lately
 */
public record GatewayReport(
        PMap<UpstreamIdentifier, UpstreamLoadElsewhere> loads, PMap<String, AccountTokens> accounts) {

    /** The report of a gateway that has nothing. */
    public static final GatewayReport EMPTY = new GatewayReport(HashTreePMap.empty(), HashTreePMap.empty());

    /** Tells whether there is anything new: a load, or a request. What was asked fades by itself, which is no news. */
    boolean isNewsAfter(GatewayReport other) {
        return !loads.equals(other.loads)
                || accounts.entrySet().stream()
                        .anyMatch(entry -> entry.getValue().asked()
                                > other.accounts
                                        .getOrDefault(entry.getKey(), AccountTokens.NONE)
                                        .asked());
    }
}
