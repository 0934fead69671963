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
import org.sassafrastrail.gate.crash.CrashEvidence;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.TargetName;

/**
 * The immutable state of a gateway.
 *
 * @param configuration the configuration in force, empty until the first one is received
 * @param upstreams the upstreams that are registered or still run requests
 * @param calls the requests without a final response, by number
 * @param queued the numbers of the requests that wait for an attempt, oldest first
 * @param domainsOut the failure domains that are out of service
 * @param peers the other gateways
 * @param shares the tokens recently requested by and served to each client account over the fleet
 * @param retryBudgets the retry budget of each target
 * @param stoppingSince when the graceful shutdown began, empty if the gateway is not stopping
 * @param versionTrials the moves to another version, by target
 * @param crashes what is known of crashes of upstreams
 */
public record GatewayState(
        Optional<GatewayConfiguration> configuration,
        PMap<UpstreamIdentifier, UpstreamState> upstreams,
        PMap<Long, Call> calls,
        PSet<Long> queued,
        PSet<FailureDomainName> domainsOut,
        Peers peers,
        AccountShares shares,
        PMap<TargetName, RetryBudget> retryBudgets,
        Optional<Instant> stoppingSince,
        PMap<TargetName, VersionTrial> versionTrials,
        CrashEvidence crashes) {

    /**
     * Creates the initial state.
     *
     * @param gateway the name of this gateway
     * @param quotaWindow the time over which client accounts share capacity
     * @return the state
     */
    public static GatewayState start(String gateway, Duration quotaWindow) {
        return new GatewayState(
                Optional.empty(),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                OrderedPSet.empty(),
                HashTreePSet.empty(),
                Peers.none(gateway),
                AccountShares.forQuotaWindow(quotaWindow),
                HashTreePMap.empty(),
                Optional.empty(),
                HashTreePMap.empty(),
                CrashEvidence.NONE);
    }

    /**
     * Returns whether the gateway is ready for new callers.
     *
     * @return whether there is a configuration and the gateway is not stopping
     */
    public boolean ready() {
        return configuration.isPresent() && stoppingSince.isEmpty();
    }

    /**
     * Returns the max-min fair share level of the client accounts.
     *
     * @return the level in exponentially decaying tokens, infinite while all accounts are served what they request
     */
    public double fairShareLevel() {
        return shares.level();
    }

    /**
     * Returns whether the gateway has work.
     *
     * @return whether a request has no final response yet, or the gateway is stopping
     */
    public boolean isBusy() {
        return !calls.isEmpty() || stoppingSince.isPresent();
    }

    Optional<Call> call(long number) {
        return Optional.ofNullable(calls.get(number));
    }

    Stream<Call> queuedCalls() {
        return queued.stream().map(calls::get);
    }

    /** Returns the state of the upstream incarnation that an attempt was sent to, empty if it is no longer known. */
    Optional<UpstreamState> upstreamOf(Attempt attempt) {
        return Optional.ofNullable(upstreams.get(attempt.upstream().identifier()))
                .filter(known -> known.upstream().isSameIncarnation(attempt.upstream()));
    }

    GatewayState with(GatewayConfiguration next) {
        return new GatewayState(
                Optional.of(next),
                upstreams,
                calls,
                queued,
                domainsOut,
                peers,
                shares,
                retryBudgets,
                stoppingSince,
                versionTrials,
                crashes);
    }

    GatewayState withUpstreams(PMap<UpstreamIdentifier, UpstreamState> next) {
        return new GatewayState(
                configuration,
                next,
                calls,
                queued,
                domainsOut,
                peers,
                shares,
                retryBudgets,
                stoppingSince,
                versionTrials,
                crashes);
    }

    GatewayState with(UpstreamState next) {
        UpstreamIdentifier identifier = next.upstream().identifier();
        return withUpstreams(next.isUnused() ? upstreams.minus(identifier) : upstreams.plus(identifier, next));
    }

    GatewayState with(Call next) {
        PSet<Long> nextQueued = next.isQueued() ? queued.plus(next.number()) : queued.minus(next.number());
        return withCalls(calls.plus(next.number(), next), nextQueued);
    }

    GatewayState without(Call ended) {
        return withCalls(calls.minus(ended.number()), queued.minus(ended.number()));
    }

    private GatewayState withCalls(PMap<Long, Call> nextCalls, PSet<Long> nextQueued) {
        return new GatewayState(
                configuration,
                upstreams,
                nextCalls,
                nextQueued,
                domainsOut,
                peers,
                shares,
                retryBudgets,
                stoppingSince,
                versionTrials,
                crashes);
    }

    GatewayState withDomainsOut(PSet<FailureDomainName> next) {
        return new GatewayState(
                configuration,
                upstreams,
                calls,
                queued,
                next,
                peers,
                shares,
                retryBudgets,
                stoppingSince,
                versionTrials,
                crashes);
    }

    GatewayState with(Peers next) {
        return new GatewayState(
                configuration,
                upstreams,
                calls,
                queued,
                domainsOut,
                next,
                shares,
                retryBudgets,
                stoppingSince,
                versionTrials,
                crashes);
    }

    GatewayState with(AccountShares next) {
        return new GatewayState(
                configuration,
                upstreams,
                calls,
                queued,
                domainsOut,
                peers,
                next,
                retryBudgets,
                stoppingSince,
                versionTrials,
                crashes);
    }

    GatewayState with(TargetName target, RetryBudget next) {
        return new GatewayState(
                configuration,
                upstreams,
                calls,
                queued,
                domainsOut,
                peers,
                shares,
                retryBudgets.plus(target, next),
                stoppingSince,
                versionTrials,
                crashes);
    }

    GatewayState withVersionTrials(PMap<TargetName, VersionTrial> next) {
        return new GatewayState(
                configuration,
                upstreams,
                calls,
                queued,
                domainsOut,
                peers,
                shares,
                retryBudgets,
                stoppingSince,
                next,
                crashes);
    }

    GatewayState with(CrashEvidence next) {
        return next == crashes
                ? this
                : new GatewayState(
                        configuration,
                        upstreams,
                        calls,
                        queued,
                        domainsOut,
                        peers,
                        shares,
                        retryBudgets,
                        stoppingSince,
                        versionTrials,
                        next);
    }

    GatewayState stopping(Instant now) {
        return new GatewayState(
                configuration,
                upstreams,
                calls,
                queued,
                domainsOut,
                peers,
                shares,
                retryBudgets,
                Optional.of(now),
                versionTrials,
                crashes);
    }

    /** Returns whether a request is like those under which upstreams crashed. */
    boolean crashesUpstreams(CallDescription call) {
        return !crashes.causes().isEmpty() && crashes.isCause(call.prompt().partIdentifiers());
    }

    RetryBudget retryBudget(TargetName target) {
        return retryBudgets.getOrDefault(target, RetryBudget.EMPTY);
    }
}
