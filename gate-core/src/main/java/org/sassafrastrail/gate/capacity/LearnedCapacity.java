package org.sassafrastrail.gate.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.pcollections.HashTreePMap;
import org.pcollections.OrderedPSet;
import org.pcollections.PMap;
import org.sassafrastrail.model.TargetName;

/**
 * What the gateways learned of the speed of upstreams. Responses to this gateway and to its peers are kept apart, so that no
 * response is counted twice.
 *
 * @param own the sums over the responses to this gateway
 * @param peers what each peer told of its responses
 * @param estimates what follows for upstreams, as of the last evaluation
 * @param unshared the upstreams with responses of which the peers are to be told, the longest waiting first
 * @param sequence the number of reports sent
 * @param sharedAt when the last report was sent
 * @param evaluatedAt when the estimates were derived
 * @param lag the lag of this gateway's own threads, which adds to the times of responses
 */
public record LearnedCapacity(
        PMap<UpstreamWork, DecayingSums> own,
        PMap<String, PeerResponses> peers,
        PMap<UpstreamWork, WorkEstimate> estimates,
        OrderedPSet<UpstreamWork> unshared,
        long sequence,
        Instant sharedAt,
        Instant evaluatedAt,
        Duration lag) {

    /** Nothing was learned. */
    public static final LearnedCapacity NONE = new LearnedCapacity(
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            OrderedPSet.empty(),
            0,
            Instant.MIN,
            Instant.MIN,
            Duration.ZERO);

    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
    private static final Duration EVALUATION_INTERVAL = Duration.ofMillis(250);

    /** A response that took longer than this multiple of the mean, and this time more, counts as that long. */
    private static final double MAX_DELAY_FACTOR = 8;

    private static final double MAX_EXTRA_MILLISECONDS = 200;

    /**
     * Records the lag of this gateway's threads.
     *
     * @param measured the lag
     * @return what is known then
     */
    public LearnedCapacity withLag(Duration measured) {
        return measured.equals(lag)
                ? this
                : new LearnedCapacity(own, peers, estimates, unshared, sequence, sharedAt, evaluatedAt, measured);
    }

    /**
     * Adds a response to this gateway.
     *
     * @param work the upstream and the kind of work
     * @param amount the work
     * @param time the time that the response took
     * @param now the time
     * @return what is known then
     */
    public LearnedCapacity withResponse(UpstreamWork work, double amount, Duration time, Instant now) {
        DecayingSums known = own.getOrDefault(work, DecayingSums.none(now));
        double milliseconds = time.toNanos() / (double) Duration.ofMillis(1).toNanos();
        ResponseSums response = ResponseSums.of(amount, limited(milliseconds, known.sums()));
        return new LearnedCapacity(
                own.plus(work, known.with(response, now)),
                peers,
                estimates,
                unshared.plus(work),
                sequence,
                sharedAt,
                evaluatedAt,
                lag);
    }

    private static double limited(double milliseconds, ResponseSums known) {
        return known.count() < 1
                ? milliseconds
                : Math.min(milliseconds, known.time() / known.count() * MAX_DELAY_FACTOR + MAX_EXTRA_MILLISECONDS);
    }

    /**
     * Applies a peer's report.
     *
     * @param peer the name of the peer
     * @param incarnation the run of the peer, higher for a later one
     * @param report the report
     * @param now the time
     * @return what is known then
     */
    public LearnedCapacity withReport(String peer, long incarnation, CapacityReport report, Instant now) {
        PeerResponses next = peers.getOrDefault(peer, PeerResponses.NONE).with(incarnation, report, now);
        return new LearnedCapacity(
                own, peers.plus(peer, next), estimates, unshared, sequence, sharedAt, evaluatedAt, lag);
    }

    /**
     * Returns whether the estimates are to be derived again.
     *
     * @param now the time
     * @return whether they are
     */
    public boolean isEvaluationDue(Instant now) {
        return !now.isBefore(evaluatedAt.plus(EVALUATION_INTERVAL));
    }

    /**
     * Derives the estimates, and drops what has decayed.
     *
     * @param targets the targets of the upstreams
     * @param prefillMilliseconds the time to prefill a token that is assumed until responses show it
     * @param now the time
     * @return what is known then
     */
    public LearnedCapacity evaluated(Map<UpstreamWork, TargetName> targets, double prefillMilliseconds, Instant now) {
        LearnedCapacity kept = withoutDecayed(now);
        Map<UpstreamWork, ResponseSums> sums = kept.fleetSums(now);
        Map<TargetOfKind, Map<UpstreamWork, ResponseSums>> byTarget = sums.entrySet().stream()
                .filter(upstream -> targets.containsKey(upstream.getKey()))
                .collect(Collectors.groupingBy(
                        upstream -> new TargetOfKind(
                                targets.get(upstream.getKey()),
                                upstream.getKey().kind()),
                        Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)));
        Map<UpstreamWork, WorkEstimate> next = byTarget.entrySet().stream()
                .flatMap(target -> TargetEstimates.of(
                        target.getValue(), target.getKey().kind() == WorkKind.PREFILL ? prefillMilliseconds : 0)
                        .entrySet()
                        .stream())
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        return new LearnedCapacity(
                kept.own, kept.peers, HashTreePMap.from(next), unshared, sequence, sharedAt, now, lag);
    }

    /** The upstreams that are compared with each other. */
    private record TargetOfKind(TargetName target, WorkKind kind) {}

    private LearnedCapacity withoutDecayed(Instant now) {
        PMap<UpstreamWork, DecayingSums> keptOwn = own.minusAll(own.entrySet().stream()
                .filter(upstream -> upstream.getValue().isNegligible(now))
                .map(Map.Entry::getKey)
                .toList());
        PMap<String, PeerResponses> keptPeers = HashTreePMap.from(peers.entrySet().stream()
                .flatMap(peer ->
                        peer.getValue().withoutDecayed(now).stream().map(left -> Map.entry(peer.getKey(), left)))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)));
        return new LearnedCapacity(keptOwn, keptPeers, estimates, unshared, sequence, sharedAt, evaluatedAt, lag);
    }

    private Map<UpstreamWork, ResponseSums> fleetSums(Instant now) {
        Map<UpstreamWork, ResponseSums> sums = new HashMap<>();
        Stream.concat(Stream.of(own), peers.values().stream().map(PeerResponses::sums))
                .forEach(gateway ->
                        gateway.forEach((work, decaying) -> sums.merge(work, decaying.at(now), ResponseSums::plus)));
        return sums;
    }

    /**
     * Returns how long work is expected to take at an upstream.
     *
     * @param work the upstream and the kind of work
     * @return the estimate
     */
    public WorkEstimate estimate(UpstreamWork work) {
        return estimates.getOrDefault(work, WorkEstimate.USUAL);
    }

    /**
     * Returns how many upstreams are known to differ from the others of their target.
     *
     * @return the number
     */
    public long differing() {
        return estimates.values().stream().filter(WorkEstimate::differs).count();
    }

    /**
     * Returns what the peers are to be told now.
     *
     * @param now the time
     * @return the report, empty if there is nothing new or the last report is less than a second old
     */
    public Optional<CapacityReport> dueReport(Instant now) {
        if (unshared.isEmpty() || now.isBefore(sharedAt.plus(REPORT_INTERVAL))) {
            return Optional.empty();
        }
        List<UpstreamSums> upstreams = reported()
                .flatMap(work ->
                        Optional.ofNullable(own.get(work)).stream().map(sums -> new UpstreamSums(work, sums.at(now))))
                .toList();
        return Optional.of(new CapacityReport(sequence + 1, upstreams));
    }

    private Stream<UpstreamWork> reported() {
        return unshared.stream().limit(CapacityReport.MAX_UPSTREAMS);
    }

    /**
     * Marks the due report as sent.
     *
     * @param now the time
     * @return what is known then
     */
    public LearnedCapacity asShared(Instant now) {
        OrderedPSet<UpstreamWork> left = reported().reduce(unshared, OrderedPSet::minus, (first, second) -> second);
        return new LearnedCapacity(own, peers, estimates, left, sequence + 1, now, evaluatedAt, lag);
    }
}
