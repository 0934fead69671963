package org.sassafrastrail.gate.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Map;
import java.util.stream.Collectors;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What has to be known of crashes after all gateways were down at once, as this gateway recorded it last. It is limited in size,
 * and follows the evidence with a delay, in which responses clear most of the parts that stood beside the cause.
 *
 * @param crashes the crashes, by the incarnation of the upstream
 * @param updatedAt when the evidence was looked at last
 */
public record CrashRecord(PMap<UpstreamIncarnation, Crash> crashes, Instant updatedAt) {

    /** The record of a gateway that knows of no crash. */
    public static final CrashRecord NONE = new CrashRecord(HashTreePMap.empty(), Instant.EPOCH);

    private static final Duration INTERVAL = Duration.ofSeconds(1);
    private static final Duration MIN_AGE = Duration.ofSeconds(1);
    private static final int MAX_CRASHES = 16;
    private static final int MAX_PARTS = 64;

    /**
     * Updates the record if it is time to.
     *
     * @param evidence what the gateway knows
     * @param now the time
     * @return the record with the confirmed crashes, those with a known cause first, and then the latest
     */
    public CrashRecord updatedFrom(CrashEvidence evidence, Instant now) {
        if (now.isBefore(updatedAt.plus(INTERVAL))) {
            return this;
        }
        Map<UpstreamIncarnation, Crash> next = evidence.crashes().entrySet().stream()
                .filter(crash -> crash.getValue().confirmed())
                .filter(crash -> !crash.getValue().suspects().isEmpty())
                .filter(crash -> !now.isBefore(crash.getValue().observedAt().plus(MIN_AGE)))
                .sorted(Comparator.comparing(Map.Entry::getValue, order(evidence)))
                .limit(MAX_CRASHES)
                .collect(Collectors.toUnmodifiableMap(
                        Map.Entry::getKey, crash -> crash.getValue().limitedTo(MAX_PARTS)));
        return new CrashRecord(next.equals(crashes) ? crashes : HashTreePMap.from(next), now);
    }

    private static Comparator<Crash> order(CrashEvidence evidence) {
        return Comparator.comparing(
                        (Crash crash) -> evidence.isCause(crash.suspects().keySet()))
                .thenComparing(Crash::observedAt)
                .reversed();
    }
}
