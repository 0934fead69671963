package org.sassafrastrail.gate;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The other gateways, and the load that they put on upstreams.
 *
 * @param self the name of this gateway
 * @param registered the names of the registered gateways, empty until they are known
 * @param reports the load of each connected gateway at upstreams
 * @param loads the total load of the connected gateways at each upstream
 * @param lastReport the last report that this gateway sent
 */
record Peers(
        String self,
        Set<String> registered,
        Map<String, Map<UpstreamIdentifier, GatewayLoad>> reports,
        Map<UpstreamIdentifier, GatewayLoad> loads,
        LastReport lastReport) {

    static Peers none(String self) {
        return new Peers(self, Set.of(), Map.of(), Map.of(), LastReport.NONE);
    }

    Peers withRegistered(Set<String> gateways) {
        return new Peers(self, gateways, reports, loads, lastReport);
    }

    /** Adds a peer. It has received no report yet, so the next report is a full one. */
    Peers withConnected(String peer) {
        Peers unreported = new Peers(self, registered, reports, loads, LastReport.NONE);
        return reports.containsKey(peer) ? unreported : unreported.withReport(peer, GatewayReport.NOTHING);
    }

    /** Applies a peer's report incrementally, without iterating over the reports of the other peers. */
    Peers withReport(String peer, GatewayReport report) {
        Map<UpstreamIdentifier, GatewayLoad> before = reports.getOrDefault(peer, Map.of());
        Map<UpstreamIdentifier, GatewayLoad> after = new HashMap<>(report.full() ? Map.of() : before);
        report.loads().forEach((upstream, load) -> put(after, upstream, load));
        Map<UpstreamIdentifier, GatewayLoad> sums = new HashMap<>(loads);
        changedUpstreams(report, before)
                .forEach(upstream -> put(
                        sums,
                        upstream,
                        loadIn(loads, upstream).minus(loadIn(before, upstream)).plus(loadIn(after, upstream))));
        Map<String, Map<UpstreamIdentifier, GatewayLoad>> next = new HashMap<>(reports);
        next.put(peer, Collections.unmodifiableMap(after));
        return new Peers(
                self, registered, Collections.unmodifiableMap(next), Collections.unmodifiableMap(sums), lastReport);
    }

    private static Stream<UpstreamIdentifier> changedUpstreams(
            GatewayReport report, Map<UpstreamIdentifier, GatewayLoad> before) {
        Stream<UpstreamIdentifier> reported = report.loads().keySet().stream();
        return report.full() ? Stream.concat(reported, before.keySet().stream()).distinct() : reported;
    }

    private static void put(Map<UpstreamIdentifier, GatewayLoad> map, UpstreamIdentifier upstream, GatewayLoad load) {
        if (load.equals(GatewayLoad.NONE)) {
            map.remove(upstream);
        } else {
            map.put(upstream, load);
        }
    }

    private static GatewayLoad loadIn(Map<UpstreamIdentifier, GatewayLoad> map, UpstreamIdentifier upstream) {
        return map.getOrDefault(upstream, GatewayLoad.NONE);
    }

    Peers withoutPeer(String peer) {
        Peers without = withReport(peer, GatewayReport.NOTHING);
        Map<String, Map<UpstreamIdentifier, GatewayLoad>> remaining = new HashMap<>(without.reports);
        remaining.remove(peer);
        return new Peers(self, registered, Collections.unmodifiableMap(remaining), without.loads, lastReport);
    }

    Peers withLastReport(LastReport next) {
        return new Peers(self, registered, reports, loads, next);
    }

    /** Returns how many gateways share the upstreams. */
    int gateways() {
        return Math.max(registered.size(), connectedGateways());
    }

    /**
     * Returns this gateway's part of a number that all gateways divide among themselves. The parts add up to the number
     * if all know the same gateways, also where it is smaller than their count. For another key, other gateways get the
     * larger parts.
     *
     * @param total the number to divide
     * @param key what it is divided for
     */
    int partOf(int total, String key) {
        Set<String> members = new HashSet<>(registered);
        members.add(self);
        members.addAll(reports.keySet());
        long ownHash = rankingHash(self, key);
        long before = members.stream()
                .filter(member -> !member.equals(self))
                .filter(member -> rankingHash(member, key) < ownHash)
                .count();
        return total / members.size() + (before < total % members.size() ? 1 : 0);
    }

    /**
     * Returns the connected gateway that issues what all gateways share of something. Gateways that are connected to the same
     * ones agree on it.
     *
     * @param key what is shared
     */
    String issuer(String key) {
        return Stream.concat(Stream.of(self), reports.keySet().stream())
                .min(Comparator.<String>comparingLong(gateway -> rankingHash(gateway, key))
                        .thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }

    boolean isSelf(String gateway) {
        return self.equals(gateway);
    }

    /** Returns the share of the gateways that are connected, including this one. */
    double connectedShare() {
        return (double) connectedGateways() / gateways();
    }

    private static long rankingHash(String gateway, String key) {
        return StableHash.combine(StableHash.of(gateway), StableHash.of(key));
    }

    /** Returns how many gateways are connected, including this one. */
    int connectedGateways() {
        return 1 + reports.size();
    }

    /** Returns the factor by which known load is scaled up to account for gateways that are not connected. */
    double loadFactor() {
        return (double) gateways() / connectedGateways();
    }

    GatewayLoad loadAt(UpstreamIdentifier upstream) {
        return loadIn(loads, upstream);
    }
}
