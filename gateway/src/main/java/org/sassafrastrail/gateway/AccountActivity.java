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

/**
 * Sums the cost of each client account's requests by the processing step that they reached. Reading the sums resets them.
 */
final class AccountActivity {

    private final Map<AccountName, Map<Step, LongAdder>> costs = new ConcurrentHashMap<>();

    /** The processing step that a request reached. */
    enum Step {
        /** The request arrived on a known route. */
        ASKED,
        /** It was refused on arrival because this process lags behind. */
        REFUSED_AT_THE_DOOR,
        /** It was passed to the core, which refused it. */
        REFUSED,
        /** Its first attempt was dispatched to an upstream. */
        SENT,
        /** An upstream began to respond. */
        BEGAN;

        String fieldName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * The cost of an account's requests since the sums were last taken.
     *
     * @param account the account
     * @param cost the summed cost by the step that the requests reached
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

    /** Returns the accounts that requested most since the last call, highest first, and resets the sums of all accounts. */
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
