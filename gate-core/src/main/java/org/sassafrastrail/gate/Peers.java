package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The other gateways.
 *
 * @param registered how many gateways are registered, this one included
 * @param reports what each linked gateway said last
 * @param loads what all of them have at each upstream
 * @param told what this gateway last told the others
 * @param lastTold when it did
 */
record Peers(
        int registered,
        PMap<String, GatewayReport> reports,
        Map<UpstreamIdentifier, UpstreamLoadElsewhere> loads,
        GatewayReport told,
        Instant lastTold) {

    static final Peers NONE = new Peers(1, HashTreePMap.empty(), Map.of(), GatewayReport.EMPTY, Instant.MIN);

    Peers counted(int gateways) {
        return new Peers(Math.max(1, gateways), reports, loads, told, lastTold);
    }

    /** A gateway that is new here has heard nothing yet, so what was told counts as untold. */
    Peers linked(String peer) {
        Peers untold = new Peers(registered, reports, loads, GatewayReport.EMPTY, Instant.MIN);
        return reports.containsKey(peer) ? untold : untold.reported(peer, GatewayReport.EMPTY);
    }

    Peers reported(String peer, GatewayReport report) {
        return new Peers(registered, reports.plus(peer, report), loadsWith(peer, report), told, lastTold);
    }

    Peers lost(String peer) {
        return new Peers(registered, reports.minus(peer), loadsWith(peer, GatewayReport.EMPTY), told, lastTold);
    }

    /** The sums with a peer's new report in place of its last one; the other peers' reports are not gone through. */
    private Map<UpstreamIdentifier, UpstreamLoadElsewhere> loadsWith(String peer, GatewayReport report) {
        Map<UpstreamIdentifier, UpstreamLoadElsewhere> sums = new HashMap<>(loads);
        reports.getOrDefault(peer, GatewayReport.EMPTY)
                .loads()
                .forEach((upstream, load) -> sums.computeIfPresent(upstream, (name, sum) -> sum.minus(load)));
        report.loads().forEach((upstream, load) -> sums.merge(upstream, load, UpstreamLoadElsewhere::plus));
        sums.values().removeIf(UpstreamLoadElsewhere.NONE::equals);
        return Collections.unmodifiableMap(sums);
    }

    Peers told(GatewayReport report, Instant now) {
        return new Peers(registered, reports, loads, report, now);
    }

    /** Tells whether the last telling is an interval ago. */
    boolean mayTell(Instant now, Duration interval) {
        return lastTold.equals(Instant.MIN) || Duration.between(lastTold, now).compareTo(interval) >= 0;
    }

    /** How many gateways share the upstreams. */
    int gateways() {
        return Math.max(registered, heard());
    }

    /** How many gateways are heard from, this one included. */
    int heard() {
        return 1 + reports.size();
    }

    /** By how much what is known of the upstreams' load has to be taken to stand for the gateways not heard from. */
    double unheard() {
        return (double) gateways() / heard();
    }

    UpstreamLoadElsewhere load(UpstreamIdentifier upstream) {
        return loads.getOrDefault(upstream, UpstreamLoadElsewhere.NONE);
    }
}
