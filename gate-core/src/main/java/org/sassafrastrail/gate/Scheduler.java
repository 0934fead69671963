package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.TargetName;

/** Sends waiting requests to upstreams that may take them, the account that got least first. */
final class Scheduler {

    private static final String NO_ACCOUNT = "";

    private final GateLimits limits;
    private final Placement prompts;
    private final Placement plain;

    Scheduler(GateLimits limits, Placement prompts, Placement plain) {
        this.limits = limits;
        this.prompts = prompts;
        this.plain = plain;
    }

    /** Sends what can be sent, of all targets. */
    Transition<GateState, GateAction> sendAll(GateState state, Instant now) {
        return Transition.<GateState, GateAction>stay(state)
                .forEach(state.waitingCalls().map(Call::target).distinct(), (next, target) -> send(next, target, now));
    }

    /**
     * Sends what can be sent of one target. Requests that are tried again go first and hold up nobody, because they may
     * have tried all upstreams. Of the fresh ones, one that finds no place holds up those behind it.
     */
    Transition<GateState, GateAction> send(GateState state, TargetName target, Instant now) {
        Optional<Transition<GateState, GateAction>> repeated = waiting(state, target)
                .filter(call -> call.attempts() > 0)
                .flatMap(call -> dispatch(state, call, now).stream())
                .findFirst();
        return repeated.or(() -> next(state, target, now).flatMap(call -> dispatch(state, call, now)))
                .map(sent -> sent.and(next -> send(next, target, now)))
                .orElseGet(() -> Transition.stay(state));
    }

    private static Stream<Call> waiting(GateState state, TargetName target) {
        return state.waitingCalls().filter(call -> call.target().equals(target));
    }

    /** The fresh request of the account that got least, and of its requests the oldest. */
    private static Optional<Call> next(GateState state, TargetName target, Instant now) {
        return waiting(state, target)
                .filter(call -> call.attempts() == 0)
                .map(call -> new Turn(call, state.usage().tokens(account(call), now)))
                .min(Comparator.comparingDouble(Turn::used)
                        .thenComparing(turn -> turn.call().waitingSince()))
                .map(Turn::call);
    }

    /** A waiting request and what its account got lately. */
    private record Turn(Call call, double used) {}

    private Optional<Transition<GateState, GateAction>> dispatch(GateState state, Call call, Instant now) {
        return place(state, call, now).map(place -> dispatch(state, call, place, now));
    }

    private Optional<Placement.Place> place(GateState state, Call call, Instant now) {
        Stream<Placement.Candidate> candidates = state.upstreams().values().stream()
                .filter(upstream -> mayGet(state, upstream, call, now))
                .map(upstream -> new Placement.Candidate(
                        upstream, state.peers().load(upstream.upstream().identifier())));
        Placement placement = call.description().route().prompted() ? prompts : plain;
        return placement.place(call, candidates, state.peers().unheard());
    }

    private boolean mayGet(GateState state, UpstreamState upstream, Call call, Instant now) {
        Upstream entry = upstream.upstream();
        return entry.target().equals(call.target())
                && upstream.registered()
                && !entry.leaving()
                && !upstream.isEjected(now)
                && !state.domainsOut().contains(entry.domain())
                && !call.tried().contains(entry.identifier())
                && (!upstream.isCold(now) || coldAllows(state, upstream, now));
    }

    private boolean coldAllows(GateState state, UpstreamState upstream, Instant now) {
        double perSecond = state.table()
                .map(table -> table.targets().get(upstream.upstream().target()))
                .map(TargetProfile::coldRequestsPerSecond)
                .orElse(0.0);
        double share = (perSecond * limits.coldFactor() + limits.coldExtra())
                / state.peers().gateways();
        return upstream.sentLately(now).size() + 1 <= Math.max(1, Math.floor(share));
    }

    private static Transition<GateState, GateAction> dispatch(
            GateState state, Call call, Placement.Place place, Instant now) {
        Attempt attempt =
                new Attempt(call.attempts() + 1, place.candidate().upstream().upstream(), place.tokensToRead(), true);
        Call sent = call.sentTo(attempt);
        GateState charged = call.attempts() == 0
                ? state.with(state.usage()
                        .charged(account(call), call.description().prompt().cost(), now))
                : state.with(call.target(), state.budget(call.target()).repeat(now));
        GateAction action = new GateAction.Dispatch(
                call.number(),
                attempt.number(),
                place.candidate().upstream().upstream(),
                Duration.between(now, call.description().giveUpAt()),
                Duration.between(call.description().arrivedAt(), now),
                place.candidate().tokensAhead(),
                place.tokensToRead());
        return Transition.<GateState, GateAction>stay(
                        charged.with(sent).with(place.candidate().upstream().sent(attempt, now)))
                .then(action);
    }

    private static String account(Call call) {
        return call.description().account().map(Object::toString).orElse(NO_ACCOUNT);
    }
}
