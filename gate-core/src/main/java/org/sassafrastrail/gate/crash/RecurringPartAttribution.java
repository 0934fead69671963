package org.sassafrastrail.gate.crash;

import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * Attributes crashes to the parts that recur in them and to which no upstream has responded since. The part that recurs most
 * explains its crashes, and only those that are left count against others. Parts that stood beside it in all of these
 * crashes cannot be told from it, so a cause is all of them together.
 *
 * <p>A crash counts against a part only if a request with it was dispatched after the crash counted before. Upstreams that
 * crash together, as with their failure domain, thus count once.
 */
public final class RecurringPartAttribution implements CrashAttribution {

    private final int minCrashes;

    /**
     * Creates the attribution.
     *
     * @param minCrashes the number of crashes in which a part must recur
     */
    public RecurringPartAttribution(int minCrashes) {
        this.minCrashes = minCrashes;
    }

    /** A suspected part with the crashes in which it is one, and the number of those that count. */
    private record Suspicion(String part, Set<Crash> crashes, int count) {}

    @Override
    public PSet<PSet<String>> causes(Collection<Crash> crashes) {
        List<Crash> unexplained = crashes.stream()
                .filter(Crash::confirmed)
                .sorted(Comparator.comparing(Crash::observedAt))
                .toList();
        PSet<PSet<String>> causes = HashTreePSet.empty();
        Optional<Suspicion> strongest = strongest(unexplained);
        while (strongest.isPresent()) {
            Set<Crash> explained = strongest.get().crashes();
            causes = causes.plus(HashTreePSet.from(partsOfAll(explained)));
            unexplained = unexplained.stream()
                    .filter(crash -> !explained.contains(crash))
                    .toList();
            strongest = strongest(unexplained);
        }
        return causes;
    }

    private Optional<Suspicion> strongest(List<Crash> crashes) {
        return suspects(crashes).stream()
                .map(part -> suspicion(part, crashes))
                .filter(suspicion -> suspicion.count() >= minCrashes)
                .max(Comparator.comparingInt(Suspicion::count).thenComparing(Suspicion::part));
    }

    private static Set<String> suspects(List<Crash> crashes) {
        Map<String, Long> occurrences = crashes.stream()
                .flatMap(crash -> crash.suspects().keySet().stream())
                .collect(Collectors.groupingBy(part -> part, TreeMap::new, Collectors.counting()));
        return occurrences.entrySet().stream()
                .filter(occurrence -> occurrence.getValue() > 1)
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private static Suspicion suspicion(String part, List<Crash> crashes) {
        List<Crash> withPart =
                crashes.stream().filter(crash -> crash.isSuspect(part)).toList();
        return new Suspicion(part, new HashSet<>(withPart), count(part, withPart));
    }

    private static int count(String part, List<Crash> crashes) {
        Instant lastCounted = Instant.MIN;
        int count = 0;
        for (Crash crash : crashes) {
            if (crash.suspects().get(part).isAfter(lastCounted)) {
                lastCounted = crash.observedAt();
                count++;
            }
        }
        return count;
    }

    private static Set<String> partsOfAll(Set<Crash> crashes) {
        Set<String> common = new HashSet<>(crashes.iterator().next().suspects().keySet());
        crashes.forEach(crash -> common.retainAll(crash.suspects().keySet()));
        return common;
    }
}
