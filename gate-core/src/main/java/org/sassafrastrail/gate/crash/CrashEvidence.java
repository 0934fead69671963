package org.sassafrastrail.gate.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * What a gateway knows of crashes of upstreams, and the causes to which they are attributed.
 *
 * @param crashes the crashes, by the incarnation of the upstream
 * @param unshared the incarnations of which the gateway knows more than it has told its peers
 * @param causes the sets of parts of prompts under which upstreams crash
 * @param served the parts to which upstreams responded lately
 * @param attributed whether the causes are those of the crashes as they are known now
 */
public record CrashEvidence(
        PMap<UpstreamIncarnation, Crash> crashes,
        PSet<UpstreamIncarnation> unshared,
        PSet<PSet<String>> causes,
        ServedParts served,
        boolean attributed) {

    /** The evidence of a gateway that knows of no crash. */
    public static final CrashEvidence NONE =
            new CrashEvidence(HashTreePMap.empty(), HashTreePSet.empty(), HashTreePSet.empty(), ServedParts.NONE, true);

    private static final int MAX_CRASHES = 128;

    /** How long a loss that is not confirmed, or a crash without suspects, is kept, because peers may still report on it. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(15);

    /**
     * Adds a request that was lost before its response started.
     *
     * @param upstream the upstream that it was sent to
     * @param parts the parts of its prompt
     * @param dispatchedAt when it was sent
     * @param now the time of the loss
     * @return the evidence with it
     */
    public CrashEvidence withLost(
            UpstreamIncarnation upstream, Collection<String> parts, Instant dispatchedAt, Instant now) {
        Crash known = crashes.getOrDefault(upstream, Crash.observed(now));
        return with(upstream, withTrusted(known.withLost(parts, dispatchedAt)));
    }

    /**
     * Confirms that an upstream crashed, if requests were lost there.
     *
     * @param upstream an upstream that cannot be connected to or is no longer registered
     * @return the evidence with it
     */
    public CrashEvidence withEnded(UpstreamIncarnation upstream) {
        Crash known = crashes.get(upstream);
        return known == null || known.confirmed() ? this : with(upstream, known.asConfirmed());
    }

    /**
     * Clears the parts of a prompt to which an upstream responded.
     *
     * @param parts the parts
     * @param now the time of the response
     * @return the evidence without them as suspects of any known crash
     */
    public CrashEvidence withServed(Set<String> parts, Instant now) {
        ServedParts next = served.with(parts, now);
        CrashEvidence remembered =
                next == served ? this : new CrashEvidence(crashes, unshared, causes, next, attributed);
        return crashes.entrySet().stream()
                .filter(crash -> parts.stream().anyMatch(crash.getValue()::isSuspect))
                .reduce(
                        remembered,
                        (evidence, crash) -> evidence.with(
                                crash.getKey(), crash.getValue().withCleared(suspectsAmong(parts, crash.getValue()))),
                        (first, second) -> second);
    }

    private static Set<String> suspectsAmong(Set<String> parts, Crash crash) {
        return parts.stream().filter(crash::isSuspect).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Adds what a peer knows. It is not passed on to others, whom the peer tells itself.
     *
     * @param reported the crashes
     * @return the evidence with them
     */
    public CrashEvidence mergedWith(Map<UpstreamIncarnation, Crash> reported) {
        return reported.entrySet().stream()
                .reduce(
                        this,
                        (evidence, crash) -> evidence.mergedWith(crash.getKey(), crash.getValue()),
                        (first, second) -> second);
    }

    private CrashEvidence mergedWith(UpstreamIncarnation upstream, Crash reported) {
        Crash known = crashes.get(upstream);
        Crash merged = withTrusted(known == null ? reported : known.mergedWith(reported));
        return new CrashEvidence(withinLimit(crashes.plus(upstream, merged)), unshared, causes, served, false);
    }

    private Crash withTrusted(Crash crash) {
        return crash.withTrusted(
                crash.suspects().keySet().stream().filter(served::contains).collect(Collectors.toUnmodifiableSet()));
    }

    private CrashEvidence with(UpstreamIncarnation upstream, Crash crash) {
        return new CrashEvidence(
                withinLimit(crashes.plus(upstream, crash)), unshared.plus(upstream), causes, served, false);
    }

    /** Drops the oldest crash if there are too many. */
    private static PMap<UpstreamIncarnation, Crash> withinLimit(PMap<UpstreamIncarnation, Crash> crashes) {
        return crashes.size() <= MAX_CRASHES
                ? crashes
                : withinLimit(crashes.minus(crashes.entrySet().stream()
                        .min(Comparator.comparing(crash -> crash.getValue().observedAt()))
                        .orElseThrow()
                        .getKey()));
    }

    /**
     * Drops the crashes that are too old to count.
     *
     * @param retention how long confirmed crashes with suspects count
     * @param now the time
     * @return the evidence without them
     */
    public CrashEvidence withoutExpired(Duration retention, Instant now) {
        Set<UpstreamIncarnation> expired = crashes.entrySet().stream()
                .filter(crash -> !now.isBefore(expiresAt(crash.getValue(), retention)))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
        return expired.isEmpty()
                ? this
                : new CrashEvidence(crashes.minusAll(expired), unshared.minusAll(expired), causes, served, false);
    }

    private static Instant expiresAt(Crash crash, Duration retention) {
        boolean counts = crash.confirmed() && !crash.suspects().isEmpty();
        return crash.observedAt().plus(counts ? retention : SETTLING_TIME);
    }

    /**
     * Attributes the crashes to their causes, if more is known of them than when it was last done.
     *
     * @param attribution how
     * @return the evidence with the causes
     */
    public CrashEvidence attributedBy(CrashAttribution attribution) {
        return attributed
                ? this
                : new CrashEvidence(crashes, unshared, attribution.causes(crashes.values()), served, true);
    }

    /**
     * Returns whether a request would crash an upstream.
     *
     * @param parts the parts of its prompt
     * @return whether they include all parts of a cause
     */
    public boolean isCause(Set<String> parts) {
        return causes.stream().anyMatch(parts::containsAll);
    }

    /**
     * Returns what the gateway has not told its peers.
     *
     * @return the crashes
     */
    public Map<UpstreamIncarnation, Crash> toShare() {
        return unshared.stream()
                .filter(crashes::containsKey)
                .collect(Collectors.toUnmodifiableMap(upstream -> upstream, crashes::get));
    }

    /**
     * Marks all as told to the peers.
     *
     * @return the evidence
     */
    public CrashEvidence asShared() {
        return new CrashEvidence(crashes, HashTreePSet.empty(), causes, served, attributed);
    }

    /**
     * Marks nothing as told, because a new peer has been told nothing.
     *
     * @return the evidence
     */
    public CrashEvidence asUnshared() {
        return new CrashEvidence(crashes, HashTreePSet.from(crashes.keySet()), causes, served, attributed);
    }
}
