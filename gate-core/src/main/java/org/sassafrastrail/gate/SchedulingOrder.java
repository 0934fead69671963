package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

import org.sassafrastrail.model.TargetName;

/**
 * The order in which queued first attempts are dispatched: fewest tokens served to the account, then longest queued.
 */
final class SchedulingOrder {

    private static final String NO_ACCOUNT = "";

    private static final Comparator<QueuedCall> ORDER = Comparator.comparingDouble(QueuedCall::served)
            .thenComparing(queued -> queued.call().queuedSince());

    private SchedulingOrder() {}

    /**
     * A queued request with its sort key.
     *
     * @param call the request
     * @param served the decayed tokens served to its account by all gateways
     */
    record QueuedCall(Call call, double served) {}

    static Stream<QueuedCall> of(GatewayState state, TargetName target, Instant now) {
        Map<String, Double> served = new HashMap<>();
        return state.queuedCalls()
                .filter(call -> call.attempts() == 0 && call.target().equals(target))
                .map(call -> new QueuedCall(call, served.computeIfAbsent(account(call), name -> state.shares()
                        .servedTokens(name, now))))
                .sorted(ORDER);
    }

    static String account(Call call) {
        return call.description().account().map(Object::toString).orElse(NO_ACCOUNT);
    }
}
