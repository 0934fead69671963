package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

import org.sassafrastrail.model.TargetName;

/** Whose turn it is: the fresh requests that wait for a target, those of the accounts that got least first. */
final class Turns {

    private static final String NO_ACCOUNT = "";

    private static final Comparator<Turn> ORDER = Comparator.comparingDouble(Turn::used)
            .thenComparing(turn -> turn.call().waitingSince());

    private Turns() {}

    /**
     * A request whose turn comes.
     *
     * @param call the request
     * @param used the tokens that its account got lately, over the fleet
     */
    record Turn(Call call, double used) {}

    static Stream<Turn> inOrder(GatewayState state, TargetName target, Instant now) {
        Map<String, Double> used = new HashMap<>();
        return state.waitingCalls()
                .filter(call -> call.attempts() == 0 && call.target().equals(target))
                .map(call -> new Turn(call, used.computeIfAbsent(account(call), name -> state.shares()
                        .tokens(name, now))))
                .sorted(ORDER);
    }

    static String account(Call call) {
        return call.description().account().map(Object::toString).orElse(NO_ACCOUNT);
    }
}
