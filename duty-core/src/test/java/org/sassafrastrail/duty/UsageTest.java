package org.sassafrastrail.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against wrong counts in usage reports, and against reports that are out of order or differ when repeated. */
class UsageTest {

    /** Guards against reports without counts: more windows were reported after an outage than counts are kept of. */
    @Test
    void afterALongOutageNoWindowIsReportedWhoseCountsAreGone() {
        UsageCounts counts = UsageCounts.NONE;
        for (long window = 1; window <= 301; window++) {
            counts = counts.with(window, new DutyHolder("a", 1), Map.of("guest", 1L));
        }
        ReportQueue queue = ReportQueue.takenOver(1, List.of(), 1);
        long next = queue.nextToAgree(300).orElseThrow();

        assertThat(counts.report(next).counts()).isEqualTo(Map.of("guest", 1L));
    }

    private static final Instant NOW = Instant.ofEpochSecond(1_800_000_002);
    private static final UsageWindows WINDOWS = UsageWindows.dueAfter(Duration.ofSeconds(5), Duration.ofSeconds(10));

    @Test
    void steppedWallClockDoesNotMoveTheWindows() {
        FleetTime time = FleetTime.START.heard("a", millis(0), NOW).heard("b", millis(4), NOW);
        time = time.heard("c", millis(8), NOW).heard("a", millis(-7000), NOW);

        assertThat(time.at(NOW)).isBetween(NOW, NOW.plusMillis(8));
    }

    @Test
    void ofTwoWallClocksNeitherMovesTheWindowsAlone() {
        FleetTime time = FleetTime.START.heard("a", millis(0), NOW).heard("b", millis(4), NOW);

        assertThat(time.heard("a", millis(9000), NOW).at(NOW)).isBetween(NOW, NOW.plusMillis(4));
    }

    @Test
    void silentWallClockIsForgotten() {
        FleetTime time = FleetTime.START.heard("a", millis(-7000), NOW);
        Instant later = NOW.plusSeconds(11);

        assertThat(time.heard("b", later.toEpochMilli(), later).at(later)).isEqualTo(later);
    }

    @Test
    void windowIsCollectedBeforeItsReportIsLate() {
        assertThat(WINDOWS.at(NOW)).isEqualTo(360_000_000);
        assertThat(WINDOWS.lastCollected(NOW.plusSeconds(5))).isEqualTo(359_999_999);
        assertThat(WINDOWS.lastCollected(NOW.plusSeconds(6))).isEqualTo(360_000_000);
        assertThat(WINDOWS.sinceEnd(360_000_000, NOW.plusSeconds(6))).isEqualTo(Duration.ofSeconds(3));
    }

    @Test
    void repeatedAndLateCountsChangeNothing() {
        DutyHolder first = new DutyHolder("a", 1);
        UsageCounts counts = UsageCounts.NONE
                .with(7, first, Map.of("hule", 2L))
                .with(7, first, Map.of("hule", 5L, "acre", 1L))
                .with(7, first, Map.of("hule", 2L))
                .with(7, new DutyHolder("a", 2), Map.of("hule", 3L));

        assertThat(counts.report(7).counts()).isEqualTo(Map.of("hule", 8L, "acre", 1L));
        assertThat(counts.withoutThrough(7)).isEqualTo(UsageCounts.NONE);
    }

    /** The API is down over three windows: their reports are agreed on in time, and sent in order afterwards. */
    @Test
    void reportsAreSentInOrderAfterAnOutage() {
        ReportQueue queue = ReportQueue.takenOver(9, List.of(), 10);
        for (long window = 10; window <= 12; window++) {
            assertThat(queue.nextToAgree(window)).contains(window);
            queue = queue.withAgreed(agreed(window));
        }
        assertThat(queue.nextToAgree(12)).isEmpty();
        for (long window = 10; window <= 12; window++) {
            assertThat(queue.nextToSend()).contains(agreed(window).report());
            queue = queue.withSent(window);
        }
        assertThat(queue.nextToSend()).isEmpty();
        assertThat(queue.obsolete(12)).isEmpty();
        assertThat(queue.obsolete(13)).contains(agreed(10));
    }

    @Test
    void nextHolderSendsWhatWasAgreedOn() {
        ReportQueue queue = ReportQueue.takenOver(9, List.of(agreed(9), agreed(10)), 12);

        assertThat(queue.nextToSend()).contains(agreed(10).report());
        assertThat(queue.nextToAgree(11)).contains(11L);
    }

    @Test
    void firstHolderBeginsWithTheFirstCountedWindow() {
        ReportQueue queue = ReportQueue.takenOver(0, List.of(), 12);

        assertThat(queue.nextToAgree(11)).isEqualTo(Optional.empty());
        assertThat(queue.nextToAgree(12)).contains(12L);
    }

    private static ReportQueue.AgreedReport agreed(long window) {
        return new ReportQueue.AgreedReport(
                new UsageReport(window, new TreeMap<>(Map.of("hule", window))), window + 100);
    }

    private static long millis(long offset) {
        return NOW.toEpochMilli() + offset;
    }
}
