package org.sassafrastrail.gate;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.FailureDomainName;

/**
 * The failure domains of this gateway and of the connected ones.
 *
 * @param own the failure domain of this gateway, empty if it is not known
 * @param peers the failure domain of each connected gateway that has told it
 * @param shared whether all connected gateways have been told that of this one
 */
record GatewayDomains(Optional<FailureDomainName> own, PMap<String, FailureDomainName> peers, boolean shared) {

    static GatewayDomains start(Optional<FailureDomainName> own) {
        return new GatewayDomains(own, HashTreePMap.empty(), false);
    }

    GatewayDomains with(String peer, FailureDomainName domain) {
        return new GatewayDomains(own, peers.plus(peer, domain), shared);
    }

    GatewayDomains without(String peer) {
        return new GatewayDomains(own, peers.minus(peer), shared);
    }

    GatewayDomains withShared(boolean next) {
        return next == shared ? this : new GatewayDomains(own, peers, next);
    }

    boolean isOwn(FailureDomainName domain) {
        return own.filter(domain::equals).isPresent();
    }

    /** Returns the names of the connected gateways in the failure domain of this one. */
    Set<String> gatewaysOfOwn() {
        return peers.entrySet().stream()
                .filter(peer -> isOwn(peer.getValue()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }
}
