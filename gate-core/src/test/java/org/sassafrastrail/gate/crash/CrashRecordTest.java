package org.sassafrastrail.gate.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against BUDGET: all gateways were killed at once, and with them went what they knew of requests that crash upstreams. */
class CrashRecordTest {

    private static final Instant START = Instant.ofEpochSecond(1_000);
    private static final Duration LATER = Duration.ofSeconds(2);

    private static UpstreamIncarnation upstream(int number) {
        return new UpstreamIncarnation("i-" + number, 1);
    }

    private static CrashEvidence crash(CrashEvidence evidence, int number, Instant at, String... parts) {
        return evidence.withLost(upstream(number), List.of(parts), at, at).withEnded(upstream(number));
    }

    @Test
    void confirmedCrashIsRecordedOnceItsInnocentPartsHadTimeToBeCleared() {
        CrashEvidence evidence = crash(CrashEvidence.NONE, 1, START, "common", "deadly");
        assertThat(CrashRecord.NONE.updatedFrom(evidence, START).crashes()).isEmpty();
        CrashEvidence cleared = evidence.withServed(Set.of("common"), START.plusMillis(100));
        CrashRecord record = CrashRecord.NONE.updatedFrom(cleared, START.plus(LATER));
        assertThat(record.crashes().get(upstream(1)).suspects().keySet()).containsExactly("deadly");
    }

    @Test
    void lossThatWasNoCrashIsNotRecorded() {
        CrashEvidence evidence = CrashEvidence.NONE.withLost(upstream(1), List.of("part"), START, START);
        assertThat(CrashRecord.NONE.updatedFrom(evidence, START.plus(LATER)).crashes())
                .isEmpty();
    }

    @Test
    void recordStaysTheSameWhileTheEvidenceDoes() {
        CrashEvidence evidence = crash(CrashEvidence.NONE, 1, START, "deadly");
        CrashRecord record = CrashRecord.NONE.updatedFrom(evidence, START.plus(LATER));
        CrashRecord next = record.updatedFrom(evidence, START.plus(LATER.multipliedBy(2)));
        assertThat(next.crashes()).isSameAs(record.crashes());
    }

    @Test
    void sizeIsLimitedAndCrashesWithKnownCauseGoFirst() {
        CrashEvidence evidence = CrashEvidence.NONE;
        for (int number : IntStream.range(0, 2).toArray()) {
            evidence = crash(evidence, number, START.plusSeconds(number), "deadly", "own-" + number);
        }
        for (int number : IntStream.range(2, 100).toArray()) {
            String[] parts = IntStream.range(0, 500)
                    .mapToObj(part -> "part-" + number + "-" + part)
                    .toArray(String[]::new);
            evidence = crash(evidence, number, START.plusSeconds(number), parts);
        }
        Instant now = START.plusSeconds(200);
        CrashRecord record = CrashRecord.NONE.updatedFrom(evidence.attributedBy(new RecurringPartAttribution(2)), now);
        assertThat(record.crashes()).containsKeys(upstream(0), upstream(1), upstream(99));
        assertThat(record.crashes().size()).isLessThanOrEqualTo(16);
        assertThat(record.crashes().values()).allMatch(crash -> crash.suspects().size() <= 64);
    }
}
