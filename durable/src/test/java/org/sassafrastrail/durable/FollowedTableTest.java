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
class FollowedTableTest {

    private final Deque<FeedReading> answers = new ArrayDeque<>();
    private final List<String> calls = new ArrayList<>();
    private final List<Set<String>> changes = new ArrayList<>();
    private final List<Long> asked = new ArrayList<>();
    private final List<String> heard = new ArrayList<>();
    private final FollowedTable table = new FollowedTable(
            new Scripted(), Duration.ofSeconds(1), rows -> changes.add(rows.keySet()), asked::add, new Heard());

    private final class Scripted implements ChangeFeed {

        @Override
        public FeedReading whole() {
            calls.add("whole");
            return answers.remove();
        }

        @Override
        public FeedReading since(long version, Duration wait) {
            calls.add("since " + version);
            return answers.remove();
        }
    }

    private final class Heard implements FollowListener {

        @Override
        public void answersNoMore(long version, String reason) {
            heard.add("lost " + version);
        }

        @Override
        public void answersAgain(long version) {
            heard.add("back " + version);
        }
    }

    private static FeedRow row(String key, long version) {
        return new FeedRow(key, version, Optional.of(key.getBytes(StandardCharsets.UTF_8)));
    }

    private static FeedReading rows(long version, FeedRow... rows) {
        return new FeedReading.Rows(List.of(rows), version);
    }

    @Test
    void changesAreTakenOnTopOfTheWholeTable() {
        answers.add(rows(5, row("a", 1), row("b", 4)));
        answers.add(rows(7, row("c", 6), new FeedRow("a", 7, Optional.empty())));
        table.look();
        table.look();
        assertThat(calls).containsExactly("whole", "since 5");
        assertThat(changes).containsExactly(Set.of("a", "b"), Set.of("b", "c"));
    }

    @Test
    void aLookWithoutNewsTellsNobody() {
        answers.add(rows(5, row("a", 1)));
        answers.add(rows(9));
        table.look();
        table.look();
        assertThat(changes).hasSize(1);
        assertThat(table.copy().version()).isEqualTo(9);
    }

    @Test
    void aForgottenHistoryIsReplacedByTheWholeTable() {
        answers.add(rows(5, row("a", 1)));
        answers.add(new FeedReading.HistoryGone());
        answers.add(rows(9, row("b", 8)));
        table.look();
        table.look();
        assertThat(calls).containsExactly("whole", "since 5", "whole");
        assertThat(changes).containsExactly(Set.of("a"), Set.of("b"));
    }

    @Test
    void whileTheStoreIsSilentPeersAreAskedAndOnlyNewerCopiesCount() {
        answers.add(rows(5, row("a", 1)));
        answers.add(new FeedReading.Unanswered("no answer"));
        answers.add(new FeedReading.Unanswered("no answer"));
        answers.add(rows(12, row("d", 12)));
        table.look();
        table.look();
        assertThat(asked).containsExactly(5L);
        assertThat(table.offer(new FollowedTable.Copy(4, List.of(row("old", 4)))))
                .isFalse();
        assertThat(table.offer(new FollowedTable.Copy(8, List.of(row("a", 1), row("c", 8)))))
                .isTrue();
        table.look();
        table.look();
        assertThat(asked).containsExactly(5L, 8L);
        assertThat(changes).containsExactly(Set.of("a"), Set.of("a", "c"), Set.of("a", "c", "d"));
        assertThat(heard).containsExactly("lost 5", "back 12");
    }

    @Test
    void aProcessThatNeverReachedTheStoreStartsFromAPeersCopy() {
        answers.add(new FeedReading.Unanswered("no answer"));
        table.look();
        assertThat(asked).containsExactly(FollowedTable.UNREAD);
        assertThat(table.offer(new FollowedTable.Copy(3, List.of(row("a", 1))))).isTrue();
        assertThat(changes).containsExactly(Set.of("a"));
    }
}
