package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.stream.Stream;

import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.OrderedPSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.TargetName;

/**
 * All that a gateway knows.
 *
 * @param configuration the configuration in force, empty until one was read
 * @param upstreams the upstreams that are registered, or that requests still run at
 * @param calls the requests without a final answer, by number
 * @param waiting the requests that wait for an attempt, oldest first
 * @param domainsOut the failure domains that are out of service
 * @param peers the other gateways
 * @param shares what each client account asked and got lately, here and at the other gateways
 * @param budgets the repeats of each target
 * @param stoppingSince since when the gateway is stopping, empty if it is not
 */
public record GatewayState(
        Optional<GatewayConfiguration> configuration,
        PMap<UpstreamIdentifier, UpstreamState> upstreams,
        PMap<Long, Call> calls,
        PSet<Long> waiting,
        PSet<FailureDomainName> domainsOut,
        Peers peers,
        AccountShares shares,
        PMap<TargetName, RepeatBudget> budgets,
        Optional<Instant> stoppingSince) {

    /**
     * Starts a gateway that knows nothing.
     *
     * @param quotaWindow the time over which client accounts share capacity
     * @return its state
     */
    public static GatewayState start(Duration quotaWindow) {
        return new GatewayState(
                Optional.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                OrderedPSet.empty(),
                HashTreePSet.empty(),
                Peers.NONE,
                AccountShares.over(quotaWindow),
                HashTreePMap.empty(),
                Optional.empty());
    }

    /**
     * Tells whether new callers should come here.
     *
     * @return whether there is a configuration and the gateway is not stopping
     */
    public boolean ready() {
        return configuration.isPresent() && stoppingSince.isEmpty();
    }

    /**
     * Returns the level up to which all client accounts could lately have got the same.
     *
     * @return the level in tokens that fade, infinite while all get what they ask for
     */
    public double fairShareLevel() {
        return shares.level();
    }

    /**
     * Tells whether there is work.
     *
     * @return whether a request has no final answer yet, or the gateway is stopping
     */
    public boolean isBusy() {
        return !calls.isEmpty() || stoppingSince.isPresent();
    }

    Optional<Call> call(long number) {
        return Optional.ofNullable(calls.get(number));
    }

    Stream<Call> waitingCalls() {
        return waiting.stream().map(calls::get);
    }

    /** The state of the life of an upstream that an attempt was sent to, unless that life is over. */
    Optional<UpstreamState> upstreamOf(Attempt attempt) {
        return Optional.ofNullable(upstreams.get(attempt.upstream().identifier()))
                .filter(known -> known.upstream().isSameIncarnation(attempt.upstream()));
    }

    GatewayState with(GatewayConfiguration next) {
        return new GatewayState(
                Optional.of(next), upstreams, calls, waiting, domainsOut, peers, shares, budgets, stoppingSince);
    }

    GatewayState withUpstreams(PMap<UpstreamIdentifier, UpstreamState> next) {
        return new GatewayState(configuration, next, calls, waiting, domainsOut, peers, shares, budgets, stoppingSince);
    }

    GatewayState with(UpstreamState next) {
        UpstreamIdentifier identifier = next.upstream().identifier();
        return withUpstreams(next.isUnused() ? upstreams.minus(identifier) : upstreams.plus(identifier, next));
    }

    GatewayState with(Call next) {
        PSet<Long> queue = next.waits() ? waiting.plus(next.number()) : waiting.minus(next.number());
        return withCalls(calls.plus(next.number(), next), queue);
    }

    GatewayState without(Call ended) {
        return withCalls(calls.minus(ended.number()), waiting.minus(ended.number()));
    }

    private GatewayState withCalls(PMap<Long, Call> nextCalls, PSet<Long> nextWaiting) {
        return new GatewayState(
                configuration, upstreams, nextCalls, nextWaiting, domainsOut, peers, shares, budgets, stoppingSince);
    }

    GatewayState withDomainsOut(PSet<FailureDomainName> next) {
        return new GatewayState(configuration, upstreams, calls, waiting, next, peers, shares, budgets, stoppingSince);
    }

    GatewayState with(Peers next) {
        return new GatewayState(
                configuration, upstreams, calls, waiting, domainsOut, next, shares, budgets, stoppingSince);
    }

    GatewayState with(AccountShares next) {
        return new GatewayState(
                configuration, upstreams, calls, waiting, domainsOut, peers, next, budgets, stoppingSince);
    }

    GatewayState with(TargetName target, RepeatBudget next) {
        return new GatewayState(
                configuration,
                upstreams,
                calls,
                waiting,
                domainsOut,
                peers,
                shares,
                budgets.plus(target, next),
                stoppingSince);
    }

    GatewayState stopping(Instant now) {
        return new GatewayState(
                configuration, upstreams, calls, waiting, domainsOut, peers, shares, budgets, Optional.of(now));
    }

    RepeatBudget budget(TargetName target) {
        return budgets.getOrDefault(target, RepeatBudget.EMPTY);
    }
}
