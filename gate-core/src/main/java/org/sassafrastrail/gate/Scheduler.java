package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.model.TargetName;

/** Sends waiting requests to upstreams that may take them, the account that got least first. */
final class Scheduler {

    private static final double WHOLE = 1;

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
     * have tried all upstreams. Of the fresh ones, a few that find no place are passed over, because they may wait for
     * one upstream only.
     */
    Transition<GateState, GateAction> send(GateState state, TargetName target, Instant now) {
        return Transition.<GateState, GateAction>stay(state).whilePossible(next -> sendOne(next, target, now));
    }

    private Optional<Transition<GateState, GateAction>> sendOne(GateState state, TargetName target, Instant now) {
        if (state.waitingCalls().noneMatch(call -> call.target().equals(target))) {
            return Optional.empty();
        }
        Candidates candidates = candidates(state, target, now);
        Optional<Transition<GateState, GateAction>> repeated = state.waitingCalls()
                .filter(call -> call.attempts() > 0 && call.target().equals(target))
                .flatMap(call -> dispatch(state, call, candidates, WHOLE, now).stream())
                .findFirst();
        return repeated.or(() -> fresh(state, target, candidates, now));
    }

    private Optional<Transition<GateState, GateAction>> fresh(
            GateState state, TargetName target, Candidates candidates, Instant now) {
        return Turns.inOrder(state, target, now)
                .limit(limits.turnsLookedAt())
                .flatMap(turn -> dispatch(state, turn.call(), candidates, share(state, turn.used()), now).stream())
                .findFirst();
    }

    /** Sends a request that has just arrived, if it finds a place. Nothing changed for the others that wait. */
    Transition<GateState, GateAction> sendArrived(GateState state, Call call, Instant now) {
        double share = share(state, state.shares().tokens(Turns.account(call), now));
        return dispatch(state, call, candidates(state, call.target(), now), share, now)
                .orElseGet(() -> Transition.stay(state));
    }

    /** An account above the fair level leaves room to the others, the more so the further above it is. */
    private double share(GateState state, double used) {
        double aboveLevel = state.shares().aboveLevel(used);
        return aboveLevel <= 1 ? WHOLE : Math.max(limits.leastShareOfRoom(), 1 / aboveLevel);
    }

    private Optional<Transition<GateState, GateAction>> dispatch(
            GateState state, Call call, Candidates candidates, double share, Instant now) {
        return placement(call)
                .place(
                        call,
                        candidates.untriedBy(call),
                        new Placement.Room(state.peers().unheard(), share))
                .map(place -> dispatch(state, call, place, now));
    }

    private Placement placement(Call call) {
        return call.description().route().prompted() ? prompts : plain;
    }

    /** What speaks for or against sending a request, for the log. */
    RoomSeen roomSeen(GateState state, Call call, Instant now) {
        List<Placement.Candidate> usable = candidates(state, call.target(), now).untriedBy(call);
        Placement.Room room = new Placement.Room(state.peers().unheard(), WHOLE);
        long admitting = usable.stream()
                .filter(candidate -> placement(call).admits(candidate, call, room))
                .count();
        long least = usable.stream()
                .mapToLong(Placement.Candidate::tokensAhead)
                .min()
                .orElse(0);
        return new RoomSeen(
                usable.size(),
                (int) admitting,
                least,
                state.peers().gateways(),
                state.peers().heard());
    }

    /** The upstreams of a target that may get requests now. */
    private record Candidates(List<Placement.Candidate> upstreams) {

        List<Placement.Candidate> untriedBy(Call call) {
            return call.tried().isEmpty()
                    ? upstreams
                    : upstreams.stream()
                            .filter(candidate -> !call.tried().contains(candidate.identifier()))
                            .toList();
        }
    }

    private Candidates candidates(GateState state, TargetName target, Instant now) {
        return new Candidates(state.upstreams().values().stream()
                .filter(upstream -> mayGet(state, upstream, target, now))
                .map(upstream -> new Placement.Candidate(
                        upstream, state.peers().load(upstream.upstream().identifier())))
                .toList());
    }

    private boolean mayGet(GateState state, UpstreamState upstream, TargetName target, Instant now) {
        Upstream entry = upstream.upstream();
        return entry.target().equals(target)
                && upstream.registered()
                && !entry.leaving()
                && !upstream.isEjected(now)
                && !state.domainsOut().contains(entry.domain())
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
                ? state.with(state.shares()
                        .got(Turns.account(call), call.description().prompt().cost(), now))
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
}
