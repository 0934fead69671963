package org.sassafrastrail.gate.crash;

import java.time.Instant;
import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The loss of requests at an upstream that may have crashed. A part that was cleared never becomes a suspect of the same
 * crash again, so gateways can merge what they know in any order.
 *
 * @param observedAt when the first loss became known here
 * @param confirmed whether the upstream could not be connected to afterwards or was removed from the registry, so that it crashed
 * @param suspects the parts of lost prompts, each with when the latest lost request with it was dispatched
 * @param trusted the suspects to which an upstream had responded shortly before
 * @param cleared the parts to which an upstream has responded since
 */
public record Crash(
        Instant observedAt,
        boolean confirmed,
        PMap<String, Instant> suspects,
        PSet<String> trusted,
        PSet<String> cleared) {

    private static final int MAX_SUSPECTS = 512;

    /** Creates a crash that is not confirmed, without suspects. */
    static Crash observed(Instant now) {
        return new Crash(now, false, HashTreePMap.empty(), HashTreePSet.empty(), HashTreePSet.empty());
    }

    Crash asConfirmed() {
        return new Crash(observedAt, true, suspects, trusted, cleared);
    }

    /** Adds the parts of a lost prompt, as far as the number of suspects is limited. */
    Crash withLost(Collection<String> parts, Instant dispatchedAt) {
        Map<String, Instant> added = parts.stream()
                .filter(part -> !cleared.contains(part))
                .filter(part -> suspects.containsKey(part) || suspects.size() < MAX_SUSPECTS)
                .distinct()
                .collect(Collectors.toMap(part -> part, part -> later(suspects.get(part), dispatchedAt)));
        return new Crash(observedAt, confirmed, suspects.plusAll(added), trusted, cleared);
    }

    /** Clears parts to which an upstream responded, whether they are suspects already or not. */
    Crash withCleared(Set<String> parts) {
        return new Crash(
                observedAt, confirmed, suspects.minusAll(parts), trusted.minusAll(parts), cleared.plusAll(parts));
    }

    /** Marks suspects to which an upstream had responded shortly before. */
    Crash withTrusted(Set<String> parts) {
        Set<String> added = parts.stream().filter(suspects::containsKey).collect(Collectors.toUnmodifiableSet());
        return trusted.containsAll(added)
                ? this
                : new Crash(observedAt, confirmed, suspects, trusted.plusAll(added), cleared);
    }

    /** Adds what another gateway knows of the same crash. */
    Crash mergedWith(Crash other) {
        Crash merged = other.suspects.entrySet().stream()
                .reduce(
                        other.confirmed ? asConfirmed() : this,
                        (crash, suspect) -> crash.withLost(Set.of(suspect.getKey()), suspect.getValue()),
                        (first, second) -> second);
        return merged.withTrusted(other.trusted).withCleared(other.cleared);
    }

    /** Keeps a number of suspects, those of the latest requests, and a number of cleared parts. */
    Crash limitedTo(int parts) {
        if (suspects.size() <= parts && cleared.size() <= parts) {
            return this;
        }
        Map<String, Instant> kept = suspects.entrySet().stream()
                .sorted(Map.Entry.<String, Instant>comparingByValue()
                        .reversed()
                        .thenComparing(Map.Entry.comparingByKey()))
                .limit(parts)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        Set<String> keptCleared = cleared.stream().sorted().limit(parts).collect(Collectors.toUnmodifiableSet());
        Set<String> keptTrusted = trusted.stream().filter(kept::containsKey).collect(Collectors.toUnmodifiableSet());
        return new Crash(
                observedAt,
                confirmed,
                HashTreePMap.from(kept),
                HashTreePSet.from(keptTrusted),
                HashTreePSet.from(keptCleared));
    }

    boolean isSuspect(String part) {
        return suspects.containsKey(part);
    }

    boolean isTrusted(String part) {
        return trusted.contains(part);
    }

    private static Instant later(Instant known, Instant other) {
        return known == null || other.isAfter(known) ? other : known;
    }
}
