package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RecentRequestCountsTest {

    private final ManualClock clock = new ManualClock();
    private final RecentRequestCounts counts = new RecentRequestCounts(clock);

    private void record(String sender, int times) {
        IntStream.range(0, times).forEach(time -> counts.record(sender));
    }

    @Test
    void onlySenderAboveEvenShareExceedsIt() {
        record("most", 5);
        record("even", 3);
        record("least", 1);
        assertThat(counts.exceedsEvenShare("most")).isTrue();
        assertThat(counts.exceedsEvenShare("even")).isFalse();
        assertThat(counts.exceedsEvenShare("least")).isFalse();
    }

    @Test
    void singleSenderDoesNotExceedEvenShare() {
        record("only", 5);
        assertThat(counts.exceedsEvenShare("only")).isFalse();
    }

    @Test
    void countsDecayForTheWholeOfAPause() {
        record("earlier", 1000);
        clock.advance(Duration.ofSeconds(12));
        record("now", 1);
        record("other", 1);
        record("now", 1);
        assertThat(counts.exceedsEvenShare("now")).isTrue();
    }

    @Test
    void countsDecay() {
        record("earlier", 3);
        IntStream.range(0, 3).forEach(second -> {
            clock.advance(Duration.ofSeconds(1));
            record("now", 2);
        });
        assertThat(counts.exceedsEvenShare("earlier")).isFalse();
        assertThat(counts.exceedsEvenShare("now")).isFalse();
    }
}
