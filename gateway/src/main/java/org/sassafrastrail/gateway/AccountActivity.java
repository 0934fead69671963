package org.sassafrastrail.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

import org.sassafrastrail.model.AccountName;

/** Adds up what each client account's requests cost, by the step that they came to here, from one look to the next. */
final class AccountActivity {

    private final Map<AccountName, Map<Step, LongAdder>> costs = new ConcurrentHashMap<>();

    /** How far a request came. */
    enum Step {
        ASKED,
        REFUSED_AT_THE_DOOR,
        REFUSED,
        SENT,
        BEGAN;

        String fieldName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * What an account's requests cost since the last look.
     *
     * @param account the account
     * @param cost the cost of its requests by the step that they came to
     */
    record Row(AccountName account, Map<Step, Long> cost) {

        long cost(Step step) {
            return cost.getOrDefault(step, 0L);
        }
    }

    void add(Optional<AccountName> account, Step step, long cost) {
        account.ifPresent(name -> costs.computeIfAbsent(name, key -> new ConcurrentHashMap<>())
                .computeIfAbsent(step, key -> new LongAdder())
                .add(cost));
    }

    /** The accounts that asked most since the last look, at most so many; the sums of all start anew. */
    List<Row> takeTop(int maxRows) {
        return costs.entrySet().stream()
                .map(entry -> new Row(entry.getKey(), reset(entry.getValue())))
                .filter(row -> row.cost().values().stream().anyMatch(cost -> cost > 0))
                .sorted(Comparator.comparingLong((Row row) -> row.cost(Step.ASKED))
                        .reversed())
                .limit(maxRows)
                .toList();
    }

    private static Map<Step, Long> reset(Map<Step, LongAdder> adders) {
        return adders.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(
                        Map.Entry::getKey, adder -> adder.getValue().sumThenReset()));
    }
}
