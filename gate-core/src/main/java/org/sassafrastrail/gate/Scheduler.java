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

    private final GatewayLimits limits;
    private final Placement prompts;
    private final Placement plain;

    Scheduler(GatewayLimits limits, Placement prompts, Placement plain) {
        this.limits = limits;
        this.prompts = prompts;
        this.plain = plain;
    }

    /** Sends what can be sent, of all targets. */
    Transition<GatewayState, GatewayAction> sendAll(GatewayState state, Instant now) {
        return Transition.<GatewayState, GatewayAction>stay(state)
                .forEach(state.waitingCalls().map(Call::target).distinct(), (next, target) -> send(next, target, now));
    }

    /**
     * Sends what can be sent of one target. Requests that are tried again go first and hold up nobody, because they may
     * have tried all upstreams. Of the fresh ones, a few that find no place are passed over, because they may wait for
     * one upstream only.
     */
    Transition<GatewayState, GatewayAction> send(GatewayState state, TargetName target, Instant now) {
        return Transition.<GatewayState, GatewayAction>stay(state).whilePossible(next -> sendOne(next, target, now));
    }

    private Optional<Transition<GatewayState, GatewayAction>> sendOne(
            GatewayState state, TargetName target, Instant now) {
        if (state.waitingCalls().noneMatch(call -> call.target().equals(target))) {
            return Optional.empty();
        }
        Candidates candidates = candidates(state, target, now);
        Optional<Transition<GatewayState, GatewayAction>> repeated = state.waitingCalls()
                .filter(call -> call.attempts() > 0 && call.target().equals(target))
                .flatMap(call -> dispatch(state, call, candidates, WHOLE, now).stream())
                .findFirst();
        return repeated.or(() -> fresh(state, target, candidates, now));
    }

    private Optional<Transition<GatewayState, GatewayAction>> fresh(
            GatewayState state, TargetName target, Candidates candidates, Instant now) {
        return Turns.inOrder(state, target, now)
                .limit(limits.schedulingLookahead())
                .flatMap(turn -> dispatch(state, turn.call(), candidates, share(state, turn.used()), now).stream())
                .findFirst();
    }

    /** Sends a request that has just arrived, if it finds a place. Nothing changed for the others that wait. */
    Transition<GatewayState, GatewayAction> sendArrived(GatewayState state, Call call, Instant now) {
        double share = share(state, state.shares().tokens(Turns.account(call), now));
        return dispatch(state, call, candidates(state, call.target(), now), share, now)
                .orElseGet(() -> Transition.stay(state));
    }

    /** An account above the fair level leaves room to the others, the more so the further above it is. */
    private double share(GatewayState state, double used) {
        double aboveLevel = state.shares().aboveLevel(used);
        return aboveLevel <= 1 ? WHOLE : Math.max(limits.minCapacityShare(), 1 / aboveLevel);
    }

    private Optional<Transition<GatewayState, GatewayAction>> dispatch(
            GatewayState state, Call call, Candidates candidates, double share, Instant now) {
        return placement(call)
                .place(
                        call,
                        candidates.untriedBy(call),
                        new Placement.Room(state.peers().unheard(), share))
                .map(place -> dispatch(state, call, place, now));
    }

    private Placement placement(Call call) {
        return call.description().route().cacheAffinity() ? prompts : plain;
    }

    /** What speaks for or against sending a request, for the log. */
    CapacitySnapshot roomSeen(GatewayState state, Call call, Instant now) {
        List<Placement.Candidate> eligible =
                candidates(state, call.target(), now).untriedBy(call);
        Placement.Room room = new Placement.Room(state.peers().unheard(), WHOLE);
        long withHeadroom = eligible.stream()
                .filter(candidate -> placement(call).admits(candidate, call, room))
                .count();
        long least = eligible.stream()
                .mapToLong(Placement.Candidate::pendingPrefillTokens)
                .min()
                .orElse(0);
        return new CapacitySnapshot(
                eligible.size(),
                (int) withHeadroom,
                least,
                state.peers().gateways(),
                state.peers().connectedGateways());
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

    private Candidates candidates(GatewayState state, TargetName target, Instant now) {
        return new Candidates(state.upstreams().values().stream()
                .filter(upstream -> mayGet(state, upstream, target, now))
                .map(upstream -> new Placement.Candidate(
                        upstream, state.peers().load(upstream.upstream().identifier())))
                .toList());
    }

    private boolean mayGet(GatewayState state, UpstreamState upstream, TargetName target, Instant now) {
        Upstream entry = upstream.upstream();
        return entry.target().equals(target)
                && upstream.registered()
                && !entry.draining()
                && !upstream.isEjected(now)
                && !state.domainsOut().contains(entry.domain())
                && (!upstream.isCold(now) || coldAllows(state, upstream, now));
    }

    private boolean coldAllows(GatewayState state, UpstreamState upstream, Instant now) {
        double perSecond = state.configuration()
                .map(configuration ->
                        configuration.targets().get(upstream.upstream().target()))
                .map(TargetConfiguration::coldRequestsPerSecond)
                .orElse(0.0);
        double share = (perSecond * limits.coldBurstFactor() + limits.coldBurstExtra())
                / state.peers().gateways();
        return upstream.sentLately(now).size() + 1 <= Math.max(1, Math.floor(share));
    }

    private static Transition<GatewayState, GatewayAction> dispatch(
            GatewayState state, Call call, Placement.Place place, Instant now) {
        Attempt attempt =
                new Attempt(call.attempts() + 1, place.candidate().upstream().upstream(), place.prefillTokens(), true);
        Call sent = call.sentTo(attempt);
        GatewayState charged = call.attempts() == 0
                ? state.with(state.shares()
                        .served(Turns.account(call), call.description().prompt().cost(), now))
                : state.with(call.target(), state.budget(call.target()).repeat(now));
        GatewayAction action = new GatewayAction.Dispatch(
                call.number(),
                attempt.number(),
                place.candidate().upstream().upstream(),
                Duration.between(now, call.description().expiresAt()),
                Duration.between(call.description().arrivedAt(), now),
                place.candidate().pendingPrefillTokens(),
                place.prefillTokens());
        return Transition.<GatewayState, GatewayAction>stay(
                        charged.with(sent).with(place.candidate().upstream().sent(attempt, now)))
                .then(action);
    }
}
