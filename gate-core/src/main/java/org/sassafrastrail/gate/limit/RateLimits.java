package org.sassafrastrail.gate.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;

/**
 * The limits of upstreams, by the newest that any gateway heard of each. What an upstream said holds until it says otherwise, however
 * long it gets no request, so that it can be kept as long as the upstream is registered.
 *
 * @param named what each upstream last said
 * @param unshared the upstreams of which the peers are to be told
 */
public record RateLimits(PMap<UpstreamIncarnation, NamedLimit> named, PSet<UpstreamIncarnation> unshared) {

    /** No upstream has named a limit. */
    public static final RateLimits NONE = new RateLimits(HashTreePMap.empty(), HashTreePSet.empty());

    /**
     * Returns whether no upstream has a limit.
     *
     * @return whether no limit is in force
     */
    public boolean noneInForce() {
        return named.values().stream().noneMatch(NamedLimit::isInForce);
    }

    /**
     * Returns the limit of an upstream.
     *
     * @param upstream the upstream
     * @return the limit in force, empty if there is none
     */
    public Optional<NamedLimit> inForce(UpstreamIncarnation upstream) {
        return Optional.ofNullable(named.get(upstream)).filter(NamedLimit::isInForce);
    }

    /**
     * Returns the requests a second that an upstream takes.
     *
     * @param upstream the upstream
     * @return the number, empty if the upstream has no limit
     */
    public OptionalDouble requestsPerSecond(UpstreamIncarnation upstream) {
        return inForce(upstream).map(NamedLimit::requestsPerSecond).orElse(OptionalDouble.empty());
    }

    /**
     * Adds what an upstream says in a response to this gateway.
     *
     * @param upstream the upstream
     * @param requestsPerSecond its limit, empty if it names none
     * @param sentAt when the request was sent; a response to an earlier one does not end a limit that was named since
     * @param now the time
     * @return the limits
     */
    public RateLimits withHeard(
            UpstreamIncarnation upstream, OptionalDouble requestsPerSecond, Instant sentAt, Instant now) {
        Optional<NamedLimit> known = inForce(upstream);
        boolean endsNothing =
                known.filter(limit -> !sentAt.isBefore(limit.heardAt())).isEmpty();
        if (requestsPerSecond.isEmpty() && endsNothing) {
            return this;
        }
        boolean share = !requestsPerSecond.equals(requestsPerSecond(upstream))
                || known.filter(limit -> limit.isSharingDue(now)).isPresent();
        Instant sharedAt = share ? now : known.map(NamedLimit::sharedAt).orElse(now);
        return new RateLimits(
                named.plus(upstream, new NamedLimit(requestsPerSecond, now, sharedAt)),
                share ? unshared.plus(upstream) : unshared);
    }

    /**
     * Adds what peers heard of upstreams, where that is newer. They tell the others themselves.
     *
     * @param reports what they told
     * @param now the time
     * @return the limits
     */
    public RateLimits mergedWith(List<LimitReport> reports, Instant now) {
        return reports.stream().reduce(this, (limits, report) -> limits.mergedWith(report, now), (one, other) -> other);
    }

    private RateLimits mergedWith(LimitReport report, Instant now) {
        NamedLimit reported = new NamedLimit(report.requestsPerSecond(), now.minus(report.age()), now);
        NamedLimit known = named.get(report.upstream());
        boolean newer = known == null || reported.heardAt().isAfter(known.heardAt());
        return newer
                ? new RateLimits(named.plus(report.upstream(), reported), unshared.minus(report.upstream()))
                : this;
    }

    /**
     * Removes what upstreams said that are not registered any more.
     *
     * @param registered tells whether an upstream is registered
     * @param now the time
     * @return the limits
     */
    public RateLimits withoutExpired(Predicate<UpstreamIncarnation> registered, Instant now) {
        Set<UpstreamIncarnation> expired = named.entrySet().stream()
                .filter(limit -> limit.getValue().isExpired(now))
                .filter(limit -> !registered.test(limit.getKey()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
        return expired.isEmpty() ? this : new RateLimits(named.minusAll(expired), unshared.minusAll(expired));
    }

    /**
     * Returns what the peers are to be told.
     *
     * @param now the time
     * @return the reports
     */
    public List<LimitReport> unsharedReports(Instant now) {
        return unshared.stream().map(upstream -> report(upstream, now)).toList();
    }

    /**
     * Returns what is known of the limit of an upstream.
     *
     * @param upstream an upstream that has named one
     * @param now the time
     * @return the report
     */
    public LimitReport report(UpstreamIncarnation upstream, Instant now) {
        NamedLimit limit = named.get(upstream);
        return new LimitReport(upstream, limit.requestsPerSecond(), Duration.between(limit.heardAt(), now));
    }

    /**
     * Marks everything as told to the peers.
     *
     * @return the limits
     */
    public RateLimits asShared() {
        return new RateLimits(named, HashTreePSet.empty());
    }

    /**
     * Marks nothing as told, because a new peer has been told nothing.
     *
     * @return the limits
     */
    public RateLimits asUnshared() {
        return new RateLimits(named, HashTreePSet.from(named.keySet()));
    }
}
