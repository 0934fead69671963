package org.sassafrastrail.gate.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
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
 * Attributes crashes to the parts that recur in them and to which no upstream has responded since. The part with the most
 * crashes beyond those that it takes explains its crashes, and only those that are left count against others. Parts that
 * stood beside it in all of these crashes cannot be told from it, so a cause is all of them together.
 *
 * <p>A crash counts against a part only if a request with it was dispatched some time after the crash counted before.
 * Upstreams that crash together, as with their failure domain, thus count once, also for a request that was retried at the
 * next of them. A part to which an upstream had responded shortly before takes more crashes.
 */
public final class RecurringPartAttribution implements CrashAttribution {

    /** The time in which it becomes known that upstreams crashed together. */
    private static final Duration SEPARATION = Duration.ofMillis(100);

    /** The factor on the number of crashes for a part that was served before. */
    private static final int TRUST_FACTOR = 2;

    private final int minCrashes;

    /**
     * Creates the attribution.
     *
     * @param minCrashes the number of crashes in which a part must recur
     */
    public RecurringPartAttribution(int minCrashes) {
        this.minCrashes = minCrashes;
    }

    /**
     * A suspected part.
     *
     * @param part the part
     * @param crashes the crashes in which it is suspected
     * @param trusted whether it was served shortly before one of them
     * @param excess the number of crashes that count beyond those that it takes
     */
    private record Suspicion(String part, List<Crash> crashes, boolean trusted, int excess) {

        /** Returns the parts that cannot be told from this one. */
        Set<String> parts() {
            return crashes.get(0).suspects().keySet().stream()
                    .filter(other -> crashes.stream().allMatch(crash -> crash.isSuspect(other)))
                    .filter(other -> trusted || crashes.stream().noneMatch(crash -> crash.isTrusted(other)))
                    .collect(Collectors.toUnmodifiableSet());
        }
    }

    @Override
    public PSet<PSet<String>> causes(Collection<Crash> crashes) {
        List<Crash> unexplained = crashes.stream()
                .filter(Crash::confirmed)
                .sorted(Comparator.comparing(Crash::observedAt))
                .toList();
        PSet<PSet<String>> causes = HashTreePSet.empty();
        Optional<Suspicion> strongest = strongest(unexplained);
        while (strongest.isPresent()) {
            List<Crash> explained = strongest.get().crashes();
            causes = causes.plus(HashTreePSet.from(strongest.get().parts()));
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
                .filter(suspicion -> suspicion.excess() >= 0)
                .max(Comparator.comparingInt(Suspicion::excess).thenComparing(Suspicion::part));
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

    private Suspicion suspicion(String part, List<Crash> crashes) {
        List<Crash> withPart =
                crashes.stream().filter(crash -> crash.isSuspect(part)).toList();
        boolean trusted = withPart.stream().anyMatch(crash -> crash.isTrusted(part));
        int needed = trusted ? TRUST_FACTOR * minCrashes : minCrashes;
        return new Suspicion(part, withPart, trusted, count(part, withPart) - needed);
    }

    private static int count(String part, List<Crash> crashes) {
        Instant countedFrom = Instant.MIN;
        int count = 0;
        for (Crash crash : crashes) {
            if (crash.suspects().get(part).isAfter(countedFrom)) {
                countedFrom = crash.observedAt().plus(SEPARATION);
                count++;
            }
        }
        return count;
    }
}
