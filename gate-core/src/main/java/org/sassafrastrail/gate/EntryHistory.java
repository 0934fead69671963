package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The newest entry that the registry has shown of each upstream, by which an outdated one is recognized: a write that the
 * store performs late replaces a newer entry, or registers an upstream that has left. An incarnation that drains never
 * takes requests again.
 *
 * @param newestEntries the newest entry of each upstream that is registered or left recently
 * @param outdatedEntries the outdated entries that the registry shows
 */
record EntryHistory(
        PMap<UpstreamIdentifier, NewestEntry> newestEntries, PMap<UpstreamIdentifier, Upstream> outdatedEntries) {

    static final EntryHistory EMPTY = new EntryHistory(HashTreePMap.empty(), HashTreePMap.empty());

    /** Much longer than the seconds for which the store may hold back a write. */
    static final Duration RETENTION = Duration.ofMinutes(10);

    /** Little longer than the store may hold back a write, because a later process can't be told from the one that left. */
    static final Duration RETENTION_WITHOUT_START = Duration.ofSeconds(10);

    /**
     * The newest entry of an upstream.
     *
     * @param upstream the entry
     * @param leftAt when the upstream was no longer registered, empty if it is registered
     */
    record NewestEntry(Upstream upstream, Optional<Instant> leftAt) {

        /** Returns whether an entry of the same incarnation was written before this one. */
        private boolean supersedes(Upstream entry) {
            return upstream.hasKnownStart() && entry.isNumberedBefore(upstream)
                    || upstream.draining() && leftAt.isPresent();
        }

        private boolean isExpired(Instant now) {
            return leftAt.filter(left -> !now.isBefore(left.plus(retention()))).isPresent();
        }

        private Duration retention() {
            if (upstream.hasKnownStart()) {
                return RETENTION;
            }
            return upstream.draining() ? RETENTION_WITHOUT_START : Duration.ZERO;
        }
    }

    /**
     * Compares an entry with the newest one of the same incarnation.
     *
     * @param entry an entry of the registry
     * @return the entry, which drains if the incarnation drains; empty if it is outdated
     */
    Optional<Upstream> current(Upstream entry) {
        NewestEntry newest = newestEntries.get(entry.identifier());
        if (newest == null || !newest.upstream().isSameIncarnation(entry)) {
            return Optional.of(entry);
        }
        if (newest.supersedes(entry)) {
            return Optional.empty();
        }
        return Optional.of(newest.upstream().draining() ? entry.asDraining() : entry);
    }

    /** Adds an entry that is not outdated. */
    EntryHistory with(Upstream entry) {
        return new EntryHistory(
                newestEntries.plus(entry.identifier(), new NewestEntry(entry, Optional.empty())),
                outdatedEntries.minus(entry.identifier()));
    }

    /** Adds an outdated entry. */
    EntryHistory withOutdated(Upstream entry) {
        return new EntryHistory(newestEntries, outdatedEntries.plus(entry.identifier(), entry));
    }

    boolean isKnownOutdated(Upstream entry) {
        return entry.equals(outdatedEntries.get(entry.identifier()));
    }

    /** Marks an upstream as no longer registered. */
    EntryHistory withLeft(UpstreamIdentifier upstream, Instant now) {
        NewestEntry newest = newestEntries.get(upstream);
        return newest == null || newest.leftAt().isPresent()
                ? this
                : new EntryHistory(
                        newestEntries.plus(upstream, new NewestEntry(newest.upstream(), Optional.of(now))),
                        outdatedEntries.minus(upstream));
    }

    EntryHistory withoutExpired(Instant now) {
        Set<UpstreamIdentifier> expired = newestEntries.entrySet().stream()
                .filter(newest -> newest.getValue().isExpired(now))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
        return expired.isEmpty()
                ? this
                : new EntryHistory(newestEntries.minusAll(expired), outdatedEntries.minusAll(expired));
    }
}
