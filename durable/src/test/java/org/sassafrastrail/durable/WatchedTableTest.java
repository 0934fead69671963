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

/** A copy of a table against a store that answers, forgets or stays silent as the test says. */
class WatchedTableTest {

    private final Deque<ChangeFeedResult> answers = new ArrayDeque<>();
    private final List<String> calls = new ArrayList<>();
    private final List<Set<String>> changes = new ArrayList<>();
    private final List<Long> asked = new ArrayList<>();
    private final List<String> heard = new ArrayList<>();
    private final WatchedTable table = new WatchedTable(
            new Scripted(), Duration.ofSeconds(1), rows -> changes.add(rows.keySet()), asked::add, new Heard());

    private final class Scripted implements ChangeFeed {

        @Override
        public ChangeFeedResult readAll() {
            calls.add("whole");
            return answers.remove();
        }

        @Override
        public ChangeFeedResult changesSince(long version, Duration wait) {
            calls.add("since " + version);
            return answers.remove();
        }
    }

    private final class Heard implements StoreAvailabilityListener {

        @Override
        public void storeUnavailable(long version, String reason) {
            heard.add("lost " + version);
        }

        @Override
        public void storeAvailable(long version) {
            heard.add("back " + version);
        }
    }

    private static TableRow row(String key, long version) {
        return new TableRow(key, version, Optional.of(key.getBytes(StandardCharsets.UTF_8)));
    }

    private static ChangeFeedResult rows(long version, TableRow... rows) {
        return new ChangeFeedResult.Rows(List.of(rows), version);
    }

    @Test
    void changesAreTakenOnTopOfTheWholeTable() {
        answers.add(rows(5, row("a", 1), row("b", 4)));
        answers.add(rows(7, row("c", 6), new TableRow("a", 7, Optional.empty())));
        table.poll();
        table.poll();
        assertThat(calls).containsExactly("whole", "since 5");
        assertThat(changes).containsExactly(Set.of("a", "b"), Set.of("b", "c"));
    }

    @Test
    void aLookWithoutNewsTellsNobody() {
        answers.add(rows(5, row("a", 1)));
        answers.add(rows(9));
        table.poll();
        table.poll();
        assertThat(changes).hasSize(1);
        assertThat(table.snapshot().version()).isEqualTo(9);
    }

    @Test
    void aForgottenHistoryIsReplacedByTheWholeTable() {
        answers.add(rows(5, row("a", 1)));
        answers.add(new ChangeFeedResult.HistoryExpired());
        answers.add(rows(9, row("b", 8)));
        table.poll();
        table.poll();
        assertThat(calls).containsExactly("whole", "since 5", "whole");
        assertThat(changes).containsExactly(Set.of("a"), Set.of("b"));
    }

    @Test
    void whileTheStoreIsSilentPeersAreAskedAndOnlyNewerCopiesCount() {
        answers.add(rows(5, row("a", 1)));
        answers.add(new ChangeFeedResult.Unavailable("no answer"));
        answers.add(new ChangeFeedResult.Unavailable("no answer"));
        answers.add(rows(12, row("d", 12)));
        table.poll();
        table.poll();
        assertThat(asked).containsExactly(5L);
        assertThat(table.replaceIfNewer(new WatchedTable.Snapshot(4, List.of(row("old", 4)))))
                .isFalse();
        assertThat(table.replaceIfNewer(new WatchedTable.Snapshot(8, List.of(row("a", 1), row("c", 8)))))
                .isTrue();
        table.poll();
        table.poll();
        assertThat(asked).containsExactly(5L, 8L);
        assertThat(changes).containsExactly(Set.of("a"), Set.of("a", "c"), Set.of("a", "c", "d"));
        assertThat(heard).containsExactly("lost 5", "back 12");
    }

    @Test
    void aProcessThatNeverReachedTheStoreStartsFromAPeersCopy() {
        answers.add(new ChangeFeedResult.Unavailable("no answer"));
        table.poll();
        assertThat(asked).containsExactly(WatchedTable.NOT_LOADED);
        assertThat(table.replaceIfNewer(new WatchedTable.Snapshot(3, List.of(row("a", 1)))))
                .isTrue();
        assertThat(changes).containsExactly(Set.of("a"));
    }
}
