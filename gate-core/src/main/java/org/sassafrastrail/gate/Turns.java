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
     * @param aboveLevel how far the account is above the fair level, 1 at most if it is not
     */
    record Turn(Call call, double used, double aboveLevel) {}

    static Stream<Turn> inOrder(GateState state, TargetName target, Instant now) {
        Map<String, Double> used = new HashMap<>();
        return state.waitingCalls()
                .filter(call -> call.attempts() == 0 && call.target().equals(target))
                .map(call -> turn(state, call, used.computeIfAbsent(account(call), name -> state.shares()
                        .tokens(name, now))))
                .sorted(ORDER);
    }

    static Turn of(GateState state, Call call, Instant now) {
        return turn(state, call, state.shares().tokens(account(call), now));
    }

    private static Turn turn(GateState state, Call call, double used) {
        return new Turn(call, used, state.shares().aboveLevel(used));
    }

    static String account(Call call) {
        return call.description().account().map(Object::toString).orElse(NO_ACCOUNT);
    }
}
