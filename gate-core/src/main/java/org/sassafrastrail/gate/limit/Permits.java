package org.sassafrastrail.gate.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Set;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;

/**
 * The permits of limited upstreams: those that this gateway has, and those that it can issue to the gateways.
 *
 * @param stocks the permits that this gateway has, by upstream
 * @param buckets what it can issue, by upstream
 */
public record Permits(PMap<UpstreamIncarnation, PermitStock> stocks, PMap<UpstreamIncarnation, PermitBucket> buckets) {

    /** No permits. */
    public static final Permits NONE = new Permits(HashTreePMap.empty(), HashTreePMap.empty());

    /**
     * An answer to a permit request.
     *
     * @param permits what is left
     * @param granted whether a permit was issued
     * @param delay the time until there is another one, if none was issued
     */
    public record Answer(Permits permits, boolean granted, Duration delay) {}

    /**
     * Returns the permits that this gateway has for an upstream.
     *
     * @param upstream the upstream
     * @return the stock
     */
    public PermitStock stock(UpstreamIncarnation upstream) {
        return stocks.getOrDefault(upstream, PermitStock.EMPTY);
    }

    /**
     * Replaces the permits that this gateway has for an upstream.
     *
     * @param upstream the upstream
     * @param stock the stock
     * @return the permits
     */
    public Permits with(UpstreamIncarnation upstream, PermitStock stock) {
        return new Permits(stocks.plus(upstream, stock), buckets);
    }

    /**
     * Issues a permit if there is one.
     *
     * @param upstream the upstream
     * @param permitsPerSecond how many permits this gateway may issue for it
     * @param now the time
     * @return the answer
     */
    public Answer issue(UpstreamIncarnation upstream, double permitsPerSecond, Instant now) {
        PermitBucket bucket =
                buckets.getOrDefault(upstream, PermitBucket.empty(now)).filledAt(permitsPerSecond, now);
        PermitBucket next = bucket.hasPermit() ? bucket.issued() : bucket;
        return new Answer(
                new Permits(stocks, buckets.plus(upstream, next)), bucket.hasPermit(), bucket.delay(permitsPerSecond));
    }

    /**
     * Forgets until when no permits for some upstreams could be had, because their limits or their issuers may have changed.
     *
     * @param upstreams the upstreams
     * @return the permits
     */
    public Permits reopened(Collection<UpstreamIncarnation> upstreams) {
        return upstreams.stream()
                .filter(stocks::containsKey)
                .reduce(
                        this,
                        (permits, upstream) ->
                                permits.with(upstream, permits.stock(upstream).reopened()),
                        (one, other) -> other);
    }

    /**
     * Forgets until when no permits could be had.
     *
     * @return the permits
     */
    public Permits reopened() {
        return reopened(stocks.keySet());
    }

    /**
     * Keeps only what belongs to the given upstreams.
     *
     * @param limited the upstreams that have a limit
     * @return the permits
     */
    public Permits retaining(Set<UpstreamIncarnation> limited) {
        boolean complete = limited.containsAll(stocks.keySet()) && limited.containsAll(buckets.keySet());
        return complete ? this : new Permits(retained(stocks, limited), retained(buckets, limited));
    }

    private static <T> PMap<UpstreamIncarnation, T> retained(
            PMap<UpstreamIncarnation, T> entries, Set<UpstreamIncarnation> limited) {
        return entries.keySet().stream()
                .filter(upstream -> !limited.contains(upstream))
                .reduce(entries, PMap::minus, (one, other) -> other);
    }
}
