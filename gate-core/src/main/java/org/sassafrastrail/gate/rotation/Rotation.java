package org.sassafrastrail.gate.rotation;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.FailureDomainName;

/**
 * Whether this gateway is in the rotation of the load balancer, with what the decision rests on.
 *
 * @param self the name of this gateway
 * @param domain its failure domain, empty if it is not known
 * @param inRotation whether this gateway reports ready as far as its load is concerned
 * @param changedAt when it last left the rotation or returned
 * @param connectionsAtChange the number of callers' connections at that time
 * @param overloadAtChange the share of the time before in which it was overloaded
 * @param load the last load that was measured
 * @param overload the share of the recent time in which it was overloaded
 * @param peers the last report of each connected gateway
 * @param sharedAt when the peers were last told
 */
public record Rotation(
        String self,
        Optional<FailureDomainName> domain,
        boolean inRotation,
        Instant changedAt,
        int connectionsAtChange,
        double overloadAtChange,
        ProcessLoad load,
        OverloadShare overload,
        PMap<String, PeerRotation> peers,
        Instant sharedAt) {

    /** With this lag, a process has more callers than it can serve. */
    private static final Duration OVERLOADED_LAG = Duration.ofMillis(100);

    private static final Duration SHARE_INTERVAL = Duration.ofSeconds(1);

    /** An older report says nothing about the present. */
    private static final Duration MAX_AGE_OF_REPORT = Duration.ofSeconds(3);

    /** The time over which a gateway that is out of rotation hands its surplus connections over. */
    private static final Duration HAND_OVER_TIME = Duration.ofSeconds(2);

    /** Before two checks of the load balancer have failed, callers whose connections are closed would come back. */
    private static final Duration HAND_OVER_DELAY = Duration.ofMillis(2_500);

    /** Below this share of the recent time, a gateway can serve the connections that it has left. */
    private static final double OVERLOAD_SHARE_TO_HAND_OVER = 0.05;

    /**
     * The report of a peer.
     *
     * @param name the name of the peer
     * @param report the report
     * @param heardAt when it was received
     */
    record PeerRotation(String name, RotationReport report, Instant heardAt) {}

    /**
     * Creates the state of a gateway that starts.
     *
     * @param self its name
     * @param domain its failure domain, empty if it is not known
     * @return the state
     */
    public static Rotation start(String self, Optional<FailureDomainName> domain) {
        return new Rotation(
                self,
                domain,
                true,
                Instant.MIN,
                0,
                0,
                ProcessLoad.NONE,
                OverloadShare.NONE,
                HashTreePMap.empty(),
                Instant.MIN);
    }

    /**
     * Returns whether other gateways of the failure domain can take over callers of this one.
     *
     * @return whether there is such a gateway
     */
    public boolean hasAlternatives() {
        return domainPeers().findAny().isPresent();
    }

    /**
     * Returns the connected gateways of the same failure domain.
     *
     * @return their names
     */
    public Set<String> gatewaysOfDomain() {
        return peers.entrySet().stream()
                .filter(peer -> isOfDomain(peer.getValue()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the time from one connection that is handed over to the next.
     *
     * @param now the time
     * @return the time, empty while no connection is to be handed over: in rotation, before the load balancer has noticed, without
     *     overload, with no more connections than the peers have, or without a peer in rotation
     */
    public Optional<Duration> handOverInterval(Instant now) {
        if (inRotation
                || now.isBefore(changedAt.plus(HAND_OVER_DELAY))
                || overload.value() <= OVERLOAD_SHARE_TO_HAND_OVER) {
            return Optional.empty();
        }
        OptionalDouble mean = freshPeers(now)
                .map(PeerRotation::report)
                .filter(RotationReport::inRotation)
                .mapToInt(RotationReport::connections)
                .average();
        return mean.isPresent() ? handOverInterval(mean.getAsDouble()) : Optional.empty();
    }

    private Optional<Duration> handOverInterval(double meanOfPeers) {
        double surplus = connectionsAtChange - meanOfPeers;
        return load.connections() <= meanOfPeers || surplus <= 0
                ? Optional.empty()
                : Optional.of(Duration.ofNanos(Math.round(HAND_OVER_TIME.toNanos() / surplus)));
    }

    /**
     * Takes a measurement of the load into account.
     *
     * @param measured the load
     * @param now the time
     * @return the state
     */
    public Rotation withLoad(ProcessLoad measured, Instant now) {
        boolean overloaded = measured.lag().compareTo(OVERLOADED_LAG) >= 0;
        return new Rotation(
                self,
                domain,
                inRotation,
                changedAt,
                connectionsAtChange,
                overloadAtChange,
                measured,
                overload.withSample(overloaded, now),
                peers,
                sharedAt);
    }

    /**
     * Leaves the rotation, returns to it, or stays as it is.
     *
     * @param next whether this gateway is in rotation from now on
     * @param now the time
     * @return the state, which the peers are told at once if it changed
     */
    public Rotation changedTo(boolean next, Instant now) {
        return next == inRotation
                ? this
                : new Rotation(
                        self,
                        domain,
                        next,
                        now,
                        load.connections(),
                        overload.value(),
                        load,
                        overload,
                        peers,
                        Instant.MIN);
    }

    /**
     * Takes a peer's report into account.
     *
     * @param peer the name of the peer
     * @param report its report
     * @param now the time
     * @return the state
     */
    public Rotation withReport(String peer, RotationReport report, Instant now) {
        return withPeers(peers.plus(peer, new PeerRotation(peer, report, now)));
    }

    /**
     * Forgets a peer that is no longer connected.
     *
     * @param peer the name of the peer
     * @return the state
     */
    public Rotation withoutPeer(String peer) {
        return withPeers(peers.minus(peer));
    }

    private Rotation withPeers(PMap<String, PeerRotation> next) {
        return new Rotation(
                self,
                domain,
                inRotation,
                changedAt,
                connectionsAtChange,
                overloadAtChange,
                load,
                overload,
                next,
                sharedAt);
    }

    /**
     * Returns the report that is due to be sent to the peers.
     *
     * @param now the time
     * @return the report, empty if none is due
     */
    public Optional<RotationReport> dueReport(Instant now) {
        return domain.filter(known -> !now.isBefore(sharedAt.plus(SHARE_INTERVAL)))
                .map(known -> new RotationReport(known, inRotation, rankingShare(), load.connections()));
    }

    /**
     * Records that the peers have been told.
     *
     * @param now the time
     * @return the state
     */
    public Rotation asShared(Instant now) {
        return new Rotation(
                self, domain, inRotation, changedAt, connectionsAtChange, overloadAtChange, load, overload, peers, now);
    }

    /**
     * Records that a peer has not been told.
     *
     * @return the state
     */
    public Rotation asUnshared() {
        return asShared(Instant.MIN);
    }

    /**
     * Returns the overload by which gateways are ranked: the present one in rotation, and that when it left out of it, so that
     * gateways out of rotation rank each other alike.
     */
    double rankingShare() {
        return inRotation ? overload.value() : overloadAtChange;
    }

    /** Returns the gateways of the same failure domain whose last report is recent. */
    Stream<PeerRotation> freshPeers(Instant now) {
        return domainPeers().filter(peer -> !now.isAfter(peer.heardAt().plus(MAX_AGE_OF_REPORT)));
    }

    /** Returns how many of the peers with a recent report are in rotation, or out of it, and rank before this gateway. */
    long rankedBefore(boolean peersInRotation, Instant now) {
        return freshPeers(now)
                .filter(peer -> peer.report().inRotation() == peersInRotation)
                .filter(this::ranksBefore)
                .count();
    }

    private boolean ranksBefore(PeerRotation peer) {
        int byShare = Double.compare(peer.report().overloadShare(), rankingShare());
        return byShare > 0 || byShare == 0 && peer.name().compareTo(self) < 0;
    }

    private Stream<PeerRotation> domainPeers() {
        return peers.values().stream().filter(this::isOfDomain);
    }

    private boolean isOfDomain(PeerRotation peer) {
        return domain.filter(peer.report().domain()::equals).isPresent();
    }

    /** Returns how many of the other gateways of the domain are out of rotation. One whose report is old counts as in rotation. */
    long outOfRotation(Instant now) {
        return freshPeers(now).filter(peer -> !peer.report().inRotation()).count();
    }

    /** Returns how many gateways of the domain may be out of rotation at once. */
    long mayBeOut() {
        return (domainPeers().count() + 1) / 2;
    }
}
