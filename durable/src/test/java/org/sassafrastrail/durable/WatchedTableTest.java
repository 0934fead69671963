package org.sassafrastrail.durable;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests a watched table with scripted results of its change feed. */
class WatchedTableTest {

    private final Deque<ChangeFeedResult> feedResults = new ArrayDeque<>();
    private final List<String> feedCalls = new ArrayList<>();
    private final List<Set<String>> changes = new ArrayList<>();
    private final List<Long> peerRequests = new ArrayList<>();
    private final List<String> availability = new ArrayList<>();
    private final WatchedTable table = new WatchedTable(
            new ScriptedFeed(),
            Duration.ofSeconds(1),
            rows -> changes.add(rows.keySet()),
            peerRequests::add,
            new AvailabilityRecorder());

    private final class ScriptedFeed implements ChangeFeed {

        @Override
        public ChangeFeedResult readAll() {
            feedCalls.add("all");
            return feedResults.remove();
        }

        @Override
        public ChangeFeedResult changesSince(long version, Duration maximumWait) {
            feedCalls.add("since " + version);
            return feedResults.remove();
        }
    }

    private final class AvailabilityRecorder implements StoreAvailabilityListener {

        @Override
        public void storeUnavailable(long version, String reason) {
            availability.add("unavailable " + version);
        }

        @Override
        public void storeAvailable(long version) {
            availability.add("available " + version);
        }
    }

    private static TableRow row(String key, long version) {
        return new TableRow(key, version, Optional.of(key.getBytes(StandardCharsets.UTF_8)));
    }

    private static ChangeFeedResult rows(long version, TableRow... rows) {
        return new ChangeFeedResult.Rows(List.of(rows), version);
    }

    @Test
    void changesAreAppliedToTheLoadedTable() {
        feedResults.add(rows(5, row("a", 1), row("b", 4)));
        feedResults.add(rows(7, row("c", 6), new TableRow("a", 7, Optional.empty())));
        table.poll();
        table.poll();
        assertThat(feedCalls).containsExactly("all", "since 5");
        assertThat(changes).containsExactly(Set.of("a", "b"), Set.of("b", "c"));
    }

    @Test
    void pollWithoutChangesDoesNotNotify() {
        feedResults.add(rows(5, row("a", 1)));
        feedResults.add(rows(9));
        table.poll();
        table.poll();
        assertThat(changes).hasSize(1);
        assertThat(table.snapshot().version()).isEqualTo(9);
    }

    @Test
    void tableIsReloadedAfterHistoryExpired() {
        feedResults.add(rows(5, row("a", 1)));
        feedResults.add(new ChangeFeedResult.HistoryExpired());
        feedResults.add(rows(9, row("b", 8)));
        table.poll();
        table.poll();
        assertThat(feedCalls).containsExactly("all", "since 5", "all");
        assertThat(changes).containsExactly(Set.of("a"), Set.of("b"));
    }

    @Test
    void onlyNewerPeerSnapshotsAreAppliedWhileStoreIsUnavailable() {
        feedResults.add(rows(5, row("a", 1)));
        feedResults.add(new ChangeFeedResult.Unavailable("no response"));
        feedResults.add(new ChangeFeedResult.Unavailable("no response"));
        feedResults.add(rows(12, row("d", 12)));
        table.poll();
        table.poll();
        assertThat(peerRequests).containsExactly(5L);
        assertThat(table.replaceIfNewer(new WatchedTable.Snapshot(4, List.of(row("old", 4)))))
                .isFalse();
        assertThat(table.replaceIfNewer(new WatchedTable.Snapshot(8, List.of(row("a", 1), row("c", 8)))))
                .isTrue();
        table.poll();
        table.poll();
        assertThat(peerRequests).containsExactly(5L, 8L);
        assertThat(changes).containsExactly(Set.of("a"), Set.of("a", "c"), Set.of("a", "c", "d"));
        assertThat(availability).containsExactly("unavailable 5", "available 12");
    }

    @Test
    void unloadedTableIsLoadedFromPeerSnapshot() {
        feedResults.add(new ChangeFeedResult.Unavailable("no response"));
        table.poll();
        assertThat(peerRequests).containsExactly(WatchedTable.NOT_LOADED);
        assertThat(table.replaceIfNewer(new WatchedTable.Snapshot(3, List.of(row("a", 1)))))
                .isTrue();
        assertThat(changes).containsExactly(Set.of("a"));
    }
}
