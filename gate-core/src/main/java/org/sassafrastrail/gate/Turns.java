package org.sassafrastrail.gate;

import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.model.TargetName;

/** Whose turn it is: the fresh requests that wait for a target, those of the accounts that got least first. */
final class Turns {

    private static final String NO_ACCOUNT = "";

    /** Accounts this close together, in tokens and as a share, got the same. */
    private static final double SAME_TOKENS = 20_000;

    private static final double SAME_FACTOR = 1.25;

    private static final Comparator<Turn> ORDER = Comparator.comparingDouble(Turn::used)
            .thenComparing(turn -> turn.call().waitingSince());

    private final List<Turn> turns;
    private final double least;

    private Turns(List<Turn> turns, double least) {
        this.turns = turns;
        this.least = least;
    }

    /**
     * A request whose turn comes.
     *
     * @param call the request
     * @param used what its account got lately, over the fleet
     */
    record Turn(Call call, double used) {}

    static Turns of(GateState state, TargetName target, Instant now) {
        Map<String, Double> used = new HashMap<>();
        List<Turn> turns = fresh(state, target)
                .map(call -> new Turn(call, used.computeIfAbsent(account(call), name -> state.usage()
                        .tokens(name, now))))
                .toList();
        double least = Stream.concat(
                        turns.stream().map(Turn::used),
                        state.peers().turns(target).map(name -> state.usage().tokens(name, now)))
                .min(Comparator.naturalOrder())
                .orElse(Double.MAX_VALUE);
        return new Turns(turns, least);
    }

    private static Stream<Call> fresh(GateState state, TargetName target) {
        return state.waitingCalls()
                .filter(call -> call.attempts() == 0 && call.target().equals(target));
    }

    /** The account whose turn it is here, for each target that prompts wait for. */
    static PMap<TargetName, String> byTarget(GateState state, Instant now) {
        return HashTreePMap.from(state.waitingCalls()
                .filter(call ->
                        call.attempts() == 0 && call.description().route().prompted())
                .map(Call::target)
                .distinct()
                .collect(Collectors.toMap(
                        target -> target,
                        target -> account(of(state, target, now).turns.stream()
                                .min(ORDER)
                                .orElseThrow()
                                .call()))));
    }

    Turn of(Call call) {
        return turns.stream().filter(turn -> turn.call() == call).findFirst().orElseThrow();
    }

    Stream<Turn> inOrder() {
        return turns.stream().sorted(ORDER);
    }

    /** Tells whether an account that waits somewhere in the fleet got clearly less than the one of this turn. */
    boolean othersComeFirst(Turn turn) {
        return turn.used() > least * SAME_FACTOR + SAME_TOKENS;
    }

    static String account(Call call) {
        return call.description().account().map(Object::toString).orElse(NO_ACCOUNT);
    }
}
