package org.sassafrastrail.gate;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The other gateways.
 *
 * @param registered how many gateways are registered, this one included
 * @param reports what each linked gateway has at upstreams
 * @param loads what all of them have at each upstream
 * @param telling what this gateway last told the others
 */
record Peers(
        int registered,
        Map<String, Map<UpstreamIdentifier, PeerLoad>> reports,
        Map<UpstreamIdentifier, PeerLoad> loads,
        Telling telling) {

    static final Peers NONE = new Peers(1, Map.of(), Map.of(), Telling.NOTHING);

    Peers counted(int gateways) {
        return new Peers(Math.max(1, gateways), reports, loads, telling);
    }

    /** A gateway that is new here has heard nothing yet, so the next telling is whole. */
    Peers linked(String peer) {
        Peers untold = new Peers(registered, reports, loads, Telling.NOTHING);
        return reports.containsKey(peer) ? untold : untold.reported(peer, GatewayReport.NOTHING);
    }

    /** Takes in a peer's report; those of the others are not gone through. */
    Peers reported(String peer, GatewayReport report) {
        Map<UpstreamIdentifier, PeerLoad> before = reports.getOrDefault(peer, Map.of());
        Map<UpstreamIdentifier, PeerLoad> after = new HashMap<>(report.full() ? Map.of() : before);
        report.loads().forEach((upstream, load) -> put(after, upstream, load));
        Map<UpstreamIdentifier, PeerLoad> sums = new HashMap<>(loads);
        touched(report, before)
                .forEach(upstream -> put(
                        sums,
                        upstream,
                        of(loads, upstream).minus(of(before, upstream)).plus(of(after, upstream))));
        Map<String, Map<UpstreamIdentifier, PeerLoad>> next = new HashMap<>(reports);
        next.put(peer, Collections.unmodifiableMap(after));
        return new Peers(registered, Collections.unmodifiableMap(next), Collections.unmodifiableMap(sums), telling);
    }

    private static Stream<UpstreamIdentifier> touched(GatewayReport report, Map<UpstreamIdentifier, PeerLoad> before) {
        Stream<UpstreamIdentifier> told = report.loads().keySet().stream();
        return report.full() ? Stream.concat(told, before.keySet().stream()).distinct() : told;
    }

    private static void put(Map<UpstreamIdentifier, PeerLoad> map, UpstreamIdentifier upstream, PeerLoad load) {
        if (load.equals(PeerLoad.NONE)) {
            map.remove(upstream);
        } else {
            map.put(upstream, load);
        }
    }

    private static PeerLoad of(Map<UpstreamIdentifier, PeerLoad> map, UpstreamIdentifier upstream) {
        return map.getOrDefault(upstream, PeerLoad.NONE);
    }

    Peers lost(String peer) {
        Peers without = reported(peer, GatewayReport.NOTHING);
        Map<String, Map<UpstreamIdentifier, PeerLoad>> left = new HashMap<>(without.reports);
        left.remove(peer);
        return new Peers(registered, Collections.unmodifiableMap(left), without.loads, telling);
    }

    Peers told(Telling next) {
        return new Peers(registered, reports, loads, next);
    }

    /** How many gateways share the upstreams. */
    int gateways() {
        return Math.max(registered, connectedGateways());
    }

    /** How many gateways are heard from, this one included. */
    int connectedGateways() {
        return 1 + reports.size();
    }

    /** By how much what is known of the upstreams' load has to be taken to stand for the gateways not heard from. */
    double unheard() {
        return (double) gateways() / connectedGateways();
    }

    PeerLoad load(UpstreamIdentifier upstream) {
        return of(loads, upstream);
    }
}
