package org.sassafrastrail.gateway;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import org.sassafrastrail.model.AccountName;

/**
 * Sums the cost of each client account's requests by the processing step that they reached. Reading the sums
 * removes them.
 */
final class AccountActivity {

    private Map<AccountName, Map<Step, Long>> costs = new HashMap<>();

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

    synchronized void add(Optional<AccountName> account, Step step, long cost) {
        account.ifPresent(name ->
                costs.computeIfAbsent(name, key -> new EnumMap<>(Step.class)).merge(step, cost, Long::sum));
    }

    /** Returns the accounts that requested most since the last call, highest first, and forgets the sums of all accounts. */
    List<Row> takeTop(int maxRows) {
        return takeAll().entrySet().stream()
                .map(entry -> new Row(entry.getKey(), Map.copyOf(entry.getValue())))
                .filter(row -> row.cost().values().stream().anyMatch(cost -> cost > 0))
                .sorted(Comparator.comparingLong((Row row) -> row.cost(Step.ASKED))
                        .reversed())
                .limit(maxRows)
                .toList();
    }

    private synchronized Map<AccountName, Map<Step, Long>> takeAll() {
        Map<AccountName, Map<Step, Long>> taken = costs;
        costs = new HashMap<>();
        return taken;
    }

    /** Returns how many accounts have sums. */
    synchronized int accounts() {
        return costs.size();
    }
}
