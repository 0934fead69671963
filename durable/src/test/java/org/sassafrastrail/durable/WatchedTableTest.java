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
    private final List<StoreVersion> peerRequests = new ArrayList<>();
    private final List<String> availability = new ArrayList<>();
    private Runnable whileReading = () -> {};
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
        public ChangeFeedResult changesSince(StoreVersion version, Duration maximumWait) {
            feedCalls.add("since " + version.number());
            whileReading.run();
            return feedResults.remove();
        }
    }

    private final class AvailabilityRecorder implements StoreAvailabilityListener {

        @Override
        public void storeUnavailable(StoreVersion version, String reason) {
            availability.add("unavailable " + version.number());
        }

        @Override
        public void storeAvailable(StoreVersion version) {
            availability.add("available " + version.number());
        }

        @Override
        public void storeRestored(StoreVersion before, StoreVersion version) {
            availability.add("restored " + before + " to " + version);
        }
    }

    private static TableRow row(String key, long version) {
        return row(key, 0, version);
    }

    private static TableRow row(String key, long era, long version) {
        return new TableRow(key, new StoreVersion(era, version), Optional.of(key.getBytes(StandardCharsets.UTF_8)));
    }

    private static ChangeFeedResult rows(long version, TableRow... rows) {
        return rows(0, version, rows);
    }

    private static ChangeFeedResult rows(long era, long version, TableRow... rows) {
        return new ChangeFeedResult.Rows(List.of(rows), new StoreVersion(era, version));
    }

    private static WatchedTable.Snapshot snapshot(long era, long version, TableRow... rows) {
        return new WatchedTable.Snapshot(new StoreVersion(era, version), List.of(rows));
    }

    private static TableChanges changes(long era, long from, long version, TableRow... rows) {
        return new TableChanges(new StoreVersion(era, from), new StoreVersion(era, version), List.of(rows));
    }

    @Test
    void changesAreAppliedToTheLoadedTable() {
        feedResults.add(rows(5, row("a", 1), row("b", 4)));
        feedResults.add(rows(7, row("c", 6), new TableRow("a", new StoreVersion(0, 7), Optional.empty())));
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
        assertThat(table.snapshot().version()).isEqualTo(new StoreVersion(0, 9));
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
        assertThat(peerRequests).containsExactly(new StoreVersion(0, 5));
        assertThat(table.replaceIfNewer(snapshot(0, 4, row("old", 4)))).isFalse();
        assertThat(table.replaceIfNewer(snapshot(0, 8, row("a", 1), row("c", 8))))
                .isTrue();
        table.poll();
        table.poll();
        assertThat(peerRequests).containsExactly(new StoreVersion(0, 5), new StoreVersion(0, 8));
        assertThat(changes).containsExactly(Set.of("a"), Set.of("a", "c"), Set.of("a", "c", "d"));
        assertThat(availability).containsExactly("unavailable 5", "available 12");
    }

    @Test
    void unloadedTableIsLoadedFromPeerSnapshot() {
        feedResults.add(new ChangeFeedResult.Unavailable("no response"));
        table.poll();
        assertThat(peerRequests).containsExactly(WatchedTable.NOT_LOADED);
        assertThat(table.replaceIfNewer(snapshot(0, 3, row("a", 1)))).isTrue();
        assertThat(changes).containsExactly(Set.of("a"));
    }

    /** Guards against a copy that never follows the store again, because its version is above all that the store issues. */
    @Test
    void restoredTableIsReadWholeAlthoughItsVersionIsLower() {
        feedResults.add(rows(0, 9, row("a", 0, 1), row("lost", 0, 8)));
        feedResults.add(new ChangeFeedResult.HistoryExpired());
        feedResults.add(rows(1, 5, row("a", 1, 1)));
        table.poll();
        assertThat(table.poll()).isTrue();
        assertThat(changes).containsExactly(Set.of("a", "lost"), Set.of("a"));
        assertThat(availability).containsExactly("restored 0.9 to 1.5");
    }

    /** Guards against a mixture of two eras: the store has issued the known version again, for other changes. */
    @Test
    void changesOfANewEraAreNotAddedToACopyOfTheOneBefore() {
        feedResults.add(rows(0, 5, row("a", 0, 1), row("lost", 0, 5)));
        feedResults.add(rows(1, 7, row("b", 1, 7)));
        feedResults.add(rows(1, 7, row("a", 1, 1), row("other", 1, 4), row("b", 1, 7)));
        table.poll();
        table.poll();
        assertThat(feedCalls).containsExactly("all", "since 5", "all");
        assertThat(changes).containsExactly(Set.of("a", "lost"), Set.of("a", "b", "other"));
    }

    @Test
    void copyOfAnEarlierEraReplacesNone() {
        feedResults.add(rows(2, 5, row("a", 2, 1)));
        table.poll();
        assertThat(table.replaceIfNewer(snapshot(1, 90, row("old", 1, 80)))).isFalse();
        assertThat(table.replaceIfNewer(snapshot(3, 2, row("new", 3, 2)))).isTrue();
        assertThat(changes).containsExactly(Set.of("a"), Set.of("new"));
    }

    /** Guards against a follower that counts as current with the changes of another era. */
    @Test
    void changesOfAnotherEraDoNotContinueTheCopy() {
        feedResults.add(rows(2, 5, row("a", 2, 1)));
        table.poll();
        assertThat(table.apply(changes(1, 5, 90, row("old", 1, 80)))).isFalse();
        assertThat(table.apply(changes(3, 2, 4, row("new", 3, 4)))).isFalse();
        assertThat(table.apply(changes(2, 5, 6, row("next", 2, 6)))).isTrue();
        assertThat(changes).containsExactly(Set.of("a"), Set.of("a", "next"));
    }

    /** Guards against a poll that was answered before the restore and confirms what a peer read after it. */
    @Test
    void responseOfAnEarlierEraConfirmsNothing() {
        feedResults.add(rows(1, 5, row("a", 1, 1)));
        table.poll();
        whileReading = () -> table.replaceIfNewer(snapshot(2, 3, row("new", 2, 2)));
        feedResults.add(rows(1, 6, row("b", 1, 6)));
        assertThat(table.poll()).isFalse();
        assertThat(changes).containsExactly(Set.of("a"), Set.of("new"));
    }
}
