package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.TargetName;

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
        PMap<UpstreamIdentifier, UpstreamLoadElsewhere> loads,
        GatewayReport told,
        Instant lastTold) {

    static final Peers NONE =
            new Peers(1, HashTreePMap.empty(), HashTreePMap.empty(), GatewayReport.EMPTY, Instant.MIN);

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
    private PMap<UpstreamIdentifier, UpstreamLoadElsewhere> loadsWith(String peer, GatewayReport report) {
        PMap<UpstreamIdentifier, UpstreamLoadElsewhere> before =
                reports.getOrDefault(peer, GatewayReport.EMPTY).loads();
        PMap<UpstreamIdentifier, UpstreamLoadElsewhere> after = report.loads();
        return Stream.concat(
                        before.keySet().stream(),
                        after.keySet().stream().filter(upstream -> !before.containsKey(upstream)))
                .filter(upstream -> !Objects.equals(before.get(upstream), after.get(upstream)))
                .reduce(
                        loads,
                        (sums, upstream) -> changed(sums, upstream, before.get(upstream), after.get(upstream)),
                        (one, other) -> other);
    }

    private static PMap<UpstreamIdentifier, UpstreamLoadElsewhere> changed(
            PMap<UpstreamIdentifier, UpstreamLoadElsewhere> sums,
            UpstreamIdentifier upstream,
            UpstreamLoadElsewhere before,
            UpstreamLoadElsewhere after) {
        UpstreamLoadElsewhere sum = sums.getOrDefault(upstream, UpstreamLoadElsewhere.NONE)
                .minus(before == null ? UpstreamLoadElsewhere.NONE : before)
                .plus(after == null ? UpstreamLoadElsewhere.NONE : after);
        return sum.equals(UpstreamLoadElsewhere.NONE) ? sums.minus(upstream) : sums.plus(upstream, sum);
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

    /** The accounts whose turn it is at the other gateways. */
    Stream<String> turns(TargetName target) {
        return reports.values().stream()
                .flatMap(report -> Optional.ofNullable(report.turns().get(target)).stream());
    }
}
