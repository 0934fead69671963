package org.sassafrastrail.gate.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * The prompt parts to which upstreams responded lately: in the current period or the one before it.
 *
 * @param current the parts of the current period
 * @param earlier the parts of the period before it
 * @param since when the current period began
 */
record ServedParts(PSet<String> current, PSet<String> earlier, Instant since) {

    static final ServedParts NONE = new ServedParts(HashTreePSet.empty(), HashTreePSet.empty(), Instant.EPOCH);

    private static final Duration PERIOD = Duration.ofSeconds(30);
    private static final int MAX_PARTS_OF_PERIOD = 20_000;

    ServedParts with(Set<String> parts, Instant now) {
        if (!now.isBefore(since.plus(PERIOD))) {
            PSet<String> before = now.isBefore(since.plus(PERIOD.multipliedBy(2))) ? current : HashTreePSet.empty();
            return new ServedParts(HashTreePSet.from(parts), before, now);
        }
        return current.containsAll(parts) || current.size() >= MAX_PARTS_OF_PERIOD
                ? this
                : new ServedParts(current.plusAll(parts), earlier, since);
    }

    boolean contains(String part) {
        return current.contains(part) || earlier.contains(part);
    }
}
