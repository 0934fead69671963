package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Stream;

import org.sassafrastrail.decision.Transition;
import org.sassafrastrail.gate.capacity.UpstreamWork;
import org.sassafrastrail.gate.capacity.WorkEstimate;
import org.sassafrastrail.gate.capacity.WorkKind;
import org.sassafrastrail.gate.limit.NamedLimit;
import org.sassafrastrail.model.TargetName;

/** Dispatches queued requests to eligible upstreams, those of the account with the fewest served tokens first. */
final class Scheduler {

    private static final double FULL_SHARE = 1;

    private final GatewayLimits limits;
    private final RateLimiter rateLimiter;
    private final Placement cacheAffinity;
    private final Placement leastRequest;

    Scheduler(GatewayLimits limits, RateLimiter rateLimiter, Placement cacheAffinity, Placement leastRequest) {
        this.limits = limits;
        this.rateLimiter = rateLimiter;
        this.cacheAffinity = cacheAffinity;
        this.leastRequest = leastRequest;
    }

    /** Dispatches as many queued requests of all targets as possible. */
    Transition<GatewayState, GatewayAction> dispatchAll(GatewayState state, Instant now) {
        return Transition.<GatewayState, GatewayAction>to(state)
                .forEach(state.targetsWithQueue().stream(), (next, target) -> dispatchQueued(next, target, now));
    }

    /**
     * Dispatches as many queued requests of one target as possible. Retries go first; one that cannot be dispatched
     * does not block others, because it may already have tried every upstream. Among first attempts, the scheduler
     * looks past a limited number of requests that cannot be dispatched, because they may be waiting for one particular
     * upstream.
     */
    Transition<GatewayState, GatewayAction> dispatchQueued(GatewayState state, TargetName target, Instant now) {
        return Transition.<GatewayState, GatewayAction>to(state).whilePossible(next -> dispatchNext(next, target, now));
    }

    private Optional<Transition<GatewayState, GatewayAction>> dispatchNext(
            GatewayState state, TargetName target, Instant now) {
        if (state.queue(target).isEmpty()) {
            return Optional.empty();
        }
        Candidates candidates = candidates(state, target, now);
        Optional<Transition<GatewayState, GatewayAction>> retried = state.queue(target).retries().stream()
                .map(state.calls()::get)
                .flatMap(call -> dispatch(state, call, candidates, FULL_SHARE, now).stream())
                .findFirst();
        return retried.or(() -> dispatchFirstAttempt(state, target, candidates, now));
    }

    private Optional<Transition<GatewayState, GatewayAction>> dispatchFirstAttempt(
            GatewayState state, TargetName target, Candidates candidates, Instant now) {
        return SchedulingOrder.of(state, target, now)
                .limit(limits.schedulingLookahead())
                .flatMap(call -> dispatch(state, call, candidates, capacityShare(state, call, now), now).stream())
                .findFirst();
    }

    /**
     * Dispatches a request on its arrival if an upstream has capacity for it. Other queued requests are not
     * reconsidered, because an arrival does not change their chances.
     */
    Transition<GatewayState, GatewayAction> dispatchOnArrival(GatewayState state, Call call, Instant now) {
        return Transition.<GatewayState, GatewayAction>to(state).whilePossible(next -> next.call(call.number())
                .filter(Call::isQueued)
                .flatMap(queued -> dispatch(
                        next, queued, candidates(next, call.target(), now), capacityShare(next, call, now), now)));
    }

    private double capacityShare(GatewayState state, Call call, Instant now) {
        return state.shares().capacityShare(SchedulingOrder.account(call), limits.minCapacityShare(), now);
    }

    private Optional<Transition<GatewayState, GatewayAction>> dispatch(
            GatewayState state, Call call, Candidates candidates, double share, Instant now) {
        return placement(call)
                .choose(
                        call,
                        candidates.untriedBy(call),
                        new Placement.CapacityAllowance(state.peers().loadFactor(), share))
                .flatMap(choice -> dispatchIfPermitted(state, call, choice, now));
    }

    /** Dispatches the request, or asks for the permit that the upstream's limit requires. Returns empty while it is asked for. */
    private Optional<Transition<GatewayState, GatewayAction>> dispatchIfPermitted(
            GatewayState state, Call call, Placement.Choice choice, Instant now) {
        Upstream upstream = choice.candidate().upstream().upstream();
        return switch (rateLimiter.status(state, upstream, now)) {
            case OPEN -> Optional.of(dispatch(state, call, choice, now));
            case ASKABLE -> Optional.of(rateLimiter.ask(state, upstream, now));
            case ASKED, CLOSED -> Optional.empty();
        };
    }

    private Placement placement(Call call) {
        return call.description().route().cacheAffinity() ? cacheAffinity : leastRequest;
    }

    /** Returns the capacity that the scheduler sees for a request, for the log. */
    CapacitySnapshot capacitySnapshot(GatewayState state, Call call, Instant now) {
        List<Placement.Candidate> eligible =
                candidates(state, call.target(), now).untriedBy(call);
        Placement.CapacityAllowance allowance =
                new Placement.CapacityAllowance(state.peers().loadFactor(), FULL_SHARE);
        long withHeadroom = eligible.stream()
                .filter(candidate -> placement(call).hasCapacity(candidate, call, allowance))
                .count();
        long minPending = eligible.stream()
                .mapToLong(Placement.Candidate::pendingPrefillTokens)
                .min()
                .orElse(0);
        return new CapacitySnapshot(
                eligible.size(),
                (int) withHeadroom,
                minPending,
                state.peers().gateways(),
                state.peers().connectedGateways());
    }

    /** Returns how the account of a request stands, for the log. */
    AccountStanding accountStanding(GatewayState state, Call call, Instant now) {
        DecayingTokens tokens = state.shares().fleetTokens(SchedulingOrder.account(call), now);
        return new AccountStanding(
                Math.round(tokens.requested()),
                Math.round(tokens.served()),
                state.shares().levels().ofServed(),
                capacityShare(state, call, now));
    }

    /** The upstreams of a target that are eligible for dispatch now. */
    private record Candidates(List<Placement.Candidate> upstreams) {

        List<Placement.Candidate> untriedBy(Call call) {
            return call.triedUpstreams().isEmpty()
                    ? upstreams
                    : upstreams.stream()
                            .filter(candidate -> !call.triedUpstreams().contains(candidate.identifier()))
                            .toList();
        }
    }

    private Candidates candidates(GatewayState state, TargetName target, Instant now) {
        return new Candidates(state.upstreams().values().stream()
                .filter(upstream -> isEligible(state, upstream, target, now))
                .map(upstream -> new Placement.Candidate(
                        upstream,
                        state.peers().loadAt(upstream.upstream().identifier()),
                        upstream.unknownLoad().requestsAt(now),
                        serviceTime(state, upstream.upstream()),
                        isInOwnDomain(state, upstream.upstream())))
                .toList());
    }

    private static WorkEstimate serviceTime(GatewayState state, Upstream upstream) {
        return state.capacity().estimate(new UpstreamWork(upstream.incarnation(), WorkKind.SERVICE));
    }

    private static boolean isInOwnDomain(GatewayState state, Upstream upstream) {
        return state.domains().isOwn(upstream.domain());
    }

    private boolean isEligible(GatewayState state, UpstreamState upstream, TargetName target, Instant now) {
        return isAvailable(state, upstream, target, now)
                && state.pauses().allows(upstream, state.peers().gateways(), now)
                && rateLimiter.closedUntil(state, upstream.upstream(), now).isEmpty();
    }

    /**
     * Returns when the first upstream of a target takes requests again, if all of them have asked for a pause or are at their
     * limits.
     *
     * @param state the state
     * @param target the target
     * @param tried the upstreams that are left aside
     * @param now the time
     * @return the earliest end of a pause, empty if an upstream takes requests or none is available
     */
    Optional<Instant> pausedUntil(GatewayState state, TargetName target, Set<UpstreamIdentifier> tried, Instant now) {
        if (state.pauses().isEmpty() && state.rateLimits().noneInForce()) {
            return Optional.empty();
        }
        List<Optional<Instant>> ends = state.upstreams().values().stream()
                .filter(upstream -> isAvailable(state, upstream, target, now))
                .map(UpstreamState::upstream)
                .filter(upstream -> !tried.contains(upstream.identifier()))
                .map(upstream -> unavailableUntil(state, upstream, now))
                .toList();
        return ends.stream().allMatch(Optional::isPresent)
                ? ends.stream().flatMap(Optional::stream).min(Comparator.naturalOrder())
                : Optional.empty();
    }

    private Optional<Instant> unavailableUntil(GatewayState state, Upstream upstream, Instant now) {
        return Stream.of(
                        state.pauses().pausedUntil(upstream.incarnation(), now),
                        rateLimiter.closedUntil(state, upstream, now))
                .flatMap(Optional::stream)
                .max(Comparator.naturalOrder());
    }

    /** Returns whether an available upstream of a target has asked for a pause. */
    boolean hasPausedUpstream(GatewayState state, TargetName target, Instant now) {
        return state.upstreams().values().stream()
                .filter(upstream -> isAvailable(state, upstream, target, now))
                .anyMatch(upstream -> state.pauses()
                        .pausedUntil(upstream.upstream().incarnation(), now)
                        .isPresent());
    }

    /** Returns whether an available upstream of a target has a limit on its requests. */
    boolean hasLimitedUpstream(GatewayState state, TargetName target, Instant now) {
        return !state.rateLimits().noneInForce()
                && state.upstreams().values().stream()
                        .filter(upstream -> isAvailable(state, upstream, target, now))
                        .anyMatch(
                                upstream -> state.isLimited(upstream.upstream().incarnation()));
    }

    /**
     * Returns the requests a second that the upstreams of a target take from all gateways, if each of them has a limit.
     *
     * @param state the state
     * @param target the target
     * @param now the time
     * @return the sum of the limits, empty if an upstream has none or none is available
     */
    OptionalDouble limitOfTarget(GatewayState state, TargetName target, Instant now) {
        if (state.rateLimits().noneInForce()) {
            return OptionalDouble.empty();
        }
        List<Optional<NamedLimit>> upstreamLimits = state.upstreams().values().stream()
                .filter(upstream -> isAvailable(state, upstream, target, now))
                .map(upstream -> state.rateLimits().inForce(upstream.upstream().incarnation()))
                .toList();
        return !upstreamLimits.isEmpty() && upstreamLimits.stream().allMatch(Optional::isPresent)
                ? OptionalDouble.of(upstreamLimits.stream()
                        .flatMap(Optional::stream)
                        .mapToDouble(NamedLimit::permitsPerSecond)
                        .sum())
                : OptionalDouble.empty();
    }

    /** Returns whether an upstream takes requests of a target, but for a pause that it may have asked for. */
    private boolean isAvailable(GatewayState state, UpstreamState upstream, TargetName target, Instant now) {
        Upstream entry = upstream.upstream();
        return entry.target().equals(target)
                && upstream.registered()
                && !entry.draining()
                && !state.drainNotices().contains(entry.incarnation())
                && !upstream.isEjected(now)
                && isAllowedByMove(state, entry)
                && !state.domainsOut().contains(entry.domain())
                && (!upstream.isCold(now) || isWithinColdRate(state, upstream, now));
    }

    private boolean isAllowedByMove(GatewayState state, Upstream upstream) {
        VersionTrial trial = state.versionTrials().get(upstream.target());
        return trial == null
                || trial.allows(
                        upstream,
                        limits.newVersionShare(),
                        limits.newVersionExtra() / state.peers().gateways());
    }

    private boolean isWithinColdRate(GatewayState state, UpstreamState upstream, Instant now) {
        double requestsPerSecond = state.configuration()
                .map(configuration ->
                        configuration.targets().get(upstream.upstream().target()))
                .map(TargetConfiguration::coldRequestsPerSecond)
                .orElse(0.0);
        int maxOverFleet = (int) Math.floor(requestsPerSecond * limits.coldBurstFactor() + limits.coldBurstExtra());
        int maxDispatches = state.peers()
                .partOf(maxOverFleet, upstream.upstream().identifier().value());
        return upstream.recentColdDispatches(now).size() < maxDispatches;
    }

    private Transition<GatewayState, GatewayAction> dispatch(
            GatewayState state, Call call, Placement.Choice choice, Instant now) {
        Attempt attempt = new Attempt(
                call.attempts() + 1,
                choice.candidate().upstream().upstream(),
                choice.prefillTokens(),
                choice.candidate().pendingPrefillTokens(),
                choice.candidate().running(),
                now,
                true);
        Call dispatched = call.dispatched(attempt);
        GatewayState recorded = call.attempts() == 0
                ? state.with(state.shares()
                        .withServed(
                                SchedulingOrder.account(call),
                                call.description().prompt().cost(),
                                now))
                : state.with(call.target(), state.retryBudget(call.target()).withRetry(now));
        GatewayAction action = new GatewayAction.Dispatch(
                call.number(),
                attempt.number(),
                choice.candidate().upstream().upstream(),
                now,
                limits.drain().expiresAt(call.description(), state.stoppingSince()),
                Duration.between(call.description().arrivedAt(), now),
                choice.candidate().pendingPrefillTokens(),
                choice.prefillTokens());
        GatewayState next =
                recorded.with(dispatched).with(choice.candidate().upstream().dispatched(attempt, now));
        return Transition.<GatewayState, GatewayAction>to(
                        rateLimiter.used(VersionMoveHandler.dispatched(next, attempt.upstream()), attempt.upstream()))
                .then(action);
    }
}
