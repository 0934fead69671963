package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The other gateways.
 *
 * @param registered how many gateways are registered, this one included
 * @param reports what each linked gateway has at upstreams
 * @param told what this gateway last told the others
 * @param lastTold when it did
 */
record Peers(
        int registered,
        PMap<String, PMap<UpstreamIdentifier, UpstreamLoadElsewhere>> reports,
        PMap<UpstreamIdentifier, UpstreamLoadElsewhere> told,
        Instant lastTold) {

    static final Peers NONE = new Peers(1, HashTreePMap.empty(), HashTreePMap.empty(), Instant.MIN);

    Peers counted(int gateways) {
        return new Peers(Math.max(1, gateways), reports, told, lastTold);
    }

    /** A gateway that is new here has heard nothing yet, so what was told counts as untold. */
    Peers linked(String peer) {
        Peers untold = new Peers(registered, reports, HashTreePMap.empty(), Instant.MIN);
        return reports.containsKey(peer) ? untold : untold.reported(peer, HashTreePMap.empty());
    }

    Peers reported(String peer, PMap<UpstreamIdentifier, UpstreamLoadElsewhere> loads) {
        return new Peers(registered, reports.plus(peer, loads), told, lastTold);
    }

    Peers lost(String peer) {
        return new Peers(registered, reports.minus(peer), told, lastTold);
    }

    Peers told(PMap<UpstreamIdentifier, UpstreamLoadElsewhere> loads, Instant now) {
        return new Peers(registered, reports, loads, now);
    }

    /** Tells whether the others need to hear of the loads: they changed, and the last telling is an interval ago. */
    boolean tellingIsDue(PMap<UpstreamIdentifier, UpstreamLoadElsewhere> loads, Instant now, Duration interval) {
        boolean rested =
                lastTold.equals(Instant.MIN) || Duration.between(lastTold, now).compareTo(interval) >= 0;
        return rested && !loads.equals(told);
    }

    /** How many gateways share the upstreams. */
    int gateways() {
        return Math.max(registered, 1 + reports.size());
    }

    /** By how much what is known of the upstreams' load has to be taken to stand for the gateways not heard from. */
    double unheard() {
        return (double) gateways() / (1 + reports.size());
    }

    UpstreamLoadElsewhere load(UpstreamIdentifier upstream) {
        return reports.values().stream()
                .map(loads -> loads.getOrDefault(upstream, UpstreamLoadElsewhere.NONE))
                .reduce(UpstreamLoadElsewhere.NONE, UpstreamLoadElsewhere::plus);
    }
}
