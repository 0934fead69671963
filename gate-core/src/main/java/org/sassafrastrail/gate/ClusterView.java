package org.sassafrastrail.gate;

import java.util.Optional;

import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.sassafrastrail.model.FailureDomainName;

/**
 * What a gateway knows of the cluster from the store.
 *
 * @param configuration the configuration in force, empty until the first one is received
 * @param upstreams the upstreams that are registered or still run requests
 * @param entryHistory the newest entries of the registry
 * @param domainsOut the failure domains that are out of service
 */
record ClusterView(
        Optional<GatewayConfiguration> configuration,
        PMap<UpstreamIdentifier, UpstreamState> upstreams,
        EntryHistory entryHistory,
        PSet<FailureDomainName> domainsOut) {

    static final ClusterView EMPTY =
            new ClusterView(Optional.empty(), HashTreePMap.empty(), EntryHistory.EMPTY, HashTreePSet.empty());

    ClusterView with(GatewayConfiguration next) {
        return new ClusterView(Optional.of(next), upstreams, entryHistory, domainsOut);
    }

    /** Replaces the state of an upstream, and drops one that is no longer registered and runs no requests. */
    ClusterView with(UpstreamState next) {
        UpstreamIdentifier identifier = next.upstream().identifier();
        return new ClusterView(
                configuration,
                next.isUnused() ? upstreams.minus(identifier) : upstreams.plus(identifier, next),
                entryHistory,
                domainsOut);
    }

    ClusterView withDomainsOut(PSet<FailureDomainName> next) {
        return new ClusterView(configuration, upstreams, entryHistory, next);
    }

    ClusterView with(EntryHistory next) {
        return new ClusterView(configuration, upstreams, next, domainsOut);
    }
}
