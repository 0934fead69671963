package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.sassafrastrail.model.TargetName;

/**
 * The order in which queued first attempts are dispatched: fewest tokens served to the account over the fleet, then longest queued.
 */
final class SchedulingOrder {

    private static final String NO_ACCOUNT = "";

    private static final Comparator<Call> LONGEST_QUEUED = Comparator.comparing(Call::queuedSince);

    private SchedulingOrder() {}

    /** Returns the queued first attempts of a target, the next one first. Only as many are examined as are taken. */
    static Stream<Call> of(GatewayState state, TargetName target, Instant now) {
        TargetQueue queue = state.queue(target);
        return queue
                .accounts()
                .collect(Collectors.groupingBy(
                        account -> state.shares().servedTokens(account, now), TreeMap::new, Collectors.toList()))
                .values()
                .stream()
                .flatMap(accounts -> callsOf(accounts, queue, state));
    }

    /** Returns the requests of accounts that have been served the same. Those of one account are in order already. */
    private static Stream<Call> callsOf(List<String> accounts, TargetQueue queue, GatewayState state) {
        Stream<Call> calls = accounts.stream()
                .flatMap(account -> queue.ofAccount(account).stream())
                .map(state.calls()::get);
        return accounts.size() == 1 ? calls : calls.sorted(LONGEST_QUEUED);
    }

    static String account(Call call) {
        return call.description().account().map(Object::toString).orElse(NO_ACCOUNT);
    }
}
