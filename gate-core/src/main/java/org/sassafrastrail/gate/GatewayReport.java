package org.sassafrastrail.gate;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.TargetName;

/**
 * What a gateway tells the others of itself. Replaces what it said before.
 *
 * @param loads what it has at upstreams
 * @param usage the tokens that each client account got there lately
 * @param turns the account whose turn it is, of those that wait there for a target: the one that got least
 */
public record GatewayReport(
        PMap<UpstreamIdentifier, UpstreamLoadElsewhere> loads,
        PMap<String, Long> usage,
        PMap<TargetName, String> turns) {

    /** The report of a gateway that has nothing. */
    public static final GatewayReport EMPTY =
            new GatewayReport(HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty());

    /** Tells whether the load and the turns are the same. Usage changes with every moment and is no news by itself. */
    boolean saysTheSameAs(GatewayReport other) {
        return loads.equals(other.loads) && turns.equals(other.turns);
    }
}
