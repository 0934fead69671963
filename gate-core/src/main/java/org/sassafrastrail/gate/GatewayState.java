package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.sassafrastrail.gate.capacity.LearnedCapacity;
import org.sassafrastrail.gate.crash.CrashEvidence;
import org.sassafrastrail.gate.crash.CrashRecord;
import org.sassafrastrail.gate.crash.UpstreamIncarnation;
import org.sassafrastrail.gate.limit.Permits;
import org.sassafrastrail.gate.limit.RateLimits;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.TargetName;

/**
 * The immutable state of a gateway.
 *
 * @param cluster what it knows of the cluster from the store
 * @param openCalls the requests without a final response
 * @param fleet what it knows together with the other gateways
 * @param retryBudgets the retry budget of each target
 * @param versionTrials the moves to another version, by target
 * @param pauses the upstreams that wanted no more requests of this gateway for some time
 * @param stoppingSince when the graceful shutdown began, empty if the gateway is not stopping
 */
public record GatewayState(
        ClusterView cluster,
        OpenCalls openCalls,
        FleetView fleet,
        PMap<TargetName, RetryBudget> retryBudgets,
        PMap<TargetName, VersionTrial> versionTrials,
        UpstreamPauses pauses,
        Optional<Instant> stoppingSince) {

    /**
     * Creates the initial state.
     *
     * @param gateway the name of this gateway
     * @param quotaWindow the time over which client accounts share capacity
     * @return the state
     */
    public static GatewayState start(String gateway, Duration quotaWindow) {
        return start(gateway, Optional.empty(), quotaWindow);
    }

    /**
     * Creates the initial state of a gateway whose failure domain may be known.
     *
     * @param gateway the name of this gateway
     * @param domain its failure domain, empty if it is not known
     * @param quotaWindow the time over which client accounts share capacity
     * @return the state
     */
    public static GatewayState start(String gateway, Optional<FailureDomainName> domain, Duration quotaWindow) {
        return new GatewayState(
                ClusterView.EMPTY,
                OpenCalls.NONE,
                new FleetView(
                        Peers.none(gateway),
                        AccountShares.forQuotaWindow(quotaWindow),
                        CrashEvidence.NONE,
                        DrainNotices.NONE,
                        RateLimits.NONE,
                        Permits.NONE,
                        GatewayDomains.start(domain),
                        LearnedCapacity.NONE,
                        CrashRecord.NONE),
                HashTreePMap.empty(),
                HashTreePMap.empty(),
                UpstreamPauses.NONE,
                Optional.empty());
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, empty until the first one is received
     */
    public Optional<GatewayConfiguration> configuration() {
        return cluster.configuration();
    }

    /**
     * Returns the requests without a final response.
     *
     * @return the requests, by number
     */
    public PMap<Long, Call> calls() {
        return openCalls.calls();
    }

    /**
     * Returns the requests that wait for an attempt.
     *
     * @return their numbers, oldest first
     */
    public PSet<Long> queued() {
        return openCalls.queued();
    }

    PMap<UpstreamIdentifier, UpstreamState> upstreams() {
        return cluster.upstreams();
    }

    EntryHistory entryHistory() {
        return cluster.entryHistory();
    }

    PSet<FailureDomainName> domainsOut() {
        return cluster.domainsOut();
    }

    Peers peers() {
        return fleet.peers();
    }

    AccountShares shares() {
        return fleet.shares();
    }

    CrashEvidence crashes() {
        return fleet.crashes();
    }

    CrashRecord crashRecord() {
        return fleet.crashRecord();
    }

    DrainNotices drainNotices() {
        return fleet.drainNotices();
    }

    RateLimits rateLimits() {
        return fleet.rateLimits();
    }

    Permits permits() {
        return fleet.permits();
    }

    GatewayDomains domains() {
        return fleet.domains();
    }

    /**
     * Returns what responses show of the speed of upstreams.
     *
     * @return what was learned
     */
    public LearnedCapacity capacity() {
        return fleet.capacity();
    }

    /**
     * Returns which gateways of the failure domain read the tables of the store.
     *
     * @return the gateways
     */
    public TableWatchers tableWatchers() {
        return new TableWatchers(peers().self(), domains().gatewaysOfOwn());
    }

    /**
     * Returns whether an upstream has named a limit on its requests that is in force.
     *
     * @param upstream the upstream
     * @return whether it has
     */
    public boolean isLimited(UpstreamIncarnation upstream) {
        return rateLimits().inForce(upstream).isPresent();
    }

    /**
     * Returns whether the gateway is ready for new callers.
     *
     * @return whether there is a configuration and the gateway is not stopping
     */
    public boolean ready() {
        return configuration().isPresent() && stoppingSince.isEmpty();
    }

    /**
     * Returns the max-min fair share level of the client accounts.
     *
     * @return the level in exponentially decaying tokens, infinite while all accounts are served what they request
     */
    public double fairShareLevel() {
        return shares().levels().ofServed();
    }

    /**
     * Returns whether the gateway has work.
     *
     * @return whether a request has no final response yet, or the gateway is stopping
     */
    public boolean isBusy() {
        return !calls().isEmpty() || stoppingSince.isPresent();
    }

    Optional<Call> call(long number) {
        return Optional.ofNullable(calls().get(number));
    }

    Stream<Call> queuedCalls() {
        return queued().stream().map(calls()::get);
    }

    TargetQueue queue(TargetName target) {
        return openCalls.queue(target);
    }

    /** Returns the targets of the queued requests. */
    Set<TargetName> targetsWithQueue() {
        return openCalls.queues().keySet();
    }

    /** Returns whether an upstream is registered in this incarnation. */
    boolean isRegistered(UpstreamIncarnation incarnation) {
        return Optional.ofNullable(upstreams().get(new UpstreamIdentifier(incarnation.upstream())))
                .filter(UpstreamState::registered)
                .filter(known -> known.upstream().incarnation().equals(incarnation))
                .isPresent();
    }

    /** Returns the state of the upstream incarnation that an attempt was sent to, empty if it is no longer known. */
    Optional<UpstreamState> upstreamOf(Attempt attempt) {
        return Optional.ofNullable(upstreams().get(attempt.upstream().identifier()))
                .filter(known -> known.upstream().isSameIncarnation(attempt.upstream()));
    }

    private GatewayState with(ClusterView next) {
        return new GatewayState(next, openCalls, fleet, retryBudgets, versionTrials, pauses, stoppingSince);
    }

    private GatewayState with(OpenCalls next) {
        return new GatewayState(cluster, next, fleet, retryBudgets, versionTrials, pauses, stoppingSince);
    }

    private GatewayState with(FleetView next) {
        return new GatewayState(cluster, openCalls, next, retryBudgets, versionTrials, pauses, stoppingSince);
    }

    GatewayState with(GatewayConfiguration next) {
        return with(cluster.with(next));
    }

    GatewayState with(UpstreamState next) {
        return with(cluster.with(next));
    }

    GatewayState with(EntryHistory next) {
        return next == cluster.entryHistory() ? this : with(cluster.with(next));
    }

    GatewayState withDomainsOut(PSet<FailureDomainName> next) {
        return with(cluster.withDomainsOut(next));
    }

    GatewayState with(Call next) {
        return with(openCalls.with(next));
    }

    GatewayState without(Call ended) {
        return with(openCalls.without(ended));
    }

    GatewayState with(Peers next) {
        return with(fleet.with(next));
    }

    GatewayState with(AccountShares next) {
        return with(fleet.with(next));
    }

    GatewayState with(CrashEvidence next) {
        return next == crashes() ? this : with(fleet.with(next));
    }

    GatewayState with(CrashRecord next) {
        return next == crashRecord() ? this : with(fleet.with(next));
    }

    GatewayState with(DrainNotices next) {
        return next == drainNotices() ? this : with(fleet.with(next));
    }

    GatewayState with(RateLimits next) {
        return next == rateLimits() ? this : with(fleet.with(next));
    }

    GatewayState with(Permits next) {
        return next == permits() ? this : with(fleet.with(next));
    }

    GatewayState with(GatewayDomains next) {
        return next == domains() ? this : with(fleet.with(next));
    }

    GatewayState with(LearnedCapacity next) {
        return next == capacity() ? this : with(fleet.with(next));
    }

    GatewayState with(TargetName target, RetryBudget next) {
        return new GatewayState(
                cluster, openCalls, fleet, retryBudgets.plus(target, next), versionTrials, pauses, stoppingSince);
    }

    /** Drops what is left of accounts and targets that had no requests for some time and may be gone. */
    GatewayState withoutPast(Instant now) {
        PMap<TargetName, RetryBudget> kept = retryBudgets.minusAll(retryBudgets.entrySet().stream()
                .filter(budget -> budget.getValue().isOver(now))
                .map(Map.Entry::getKey)
                .toList());
        AccountShares current = shares().withoutIdleAccounts(now)
                .withoutIdleReports(peers().reports().keySet(), now);
        return new GatewayState(cluster, openCalls, fleet.with(current), kept, versionTrials, pauses, stoppingSince);
    }

    GatewayState withVersionTrials(PMap<TargetName, VersionTrial> next) {
        return new GatewayState(cluster, openCalls, fleet, retryBudgets, next, pauses, stoppingSince);
    }

    GatewayState with(UpstreamPauses next) {
        return next == pauses
                ? this
                : new GatewayState(cluster, openCalls, fleet, retryBudgets, versionTrials, next, stoppingSince);
    }

    GatewayState stopping(Instant now) {
        return new GatewayState(cluster, openCalls, fleet, retryBudgets, versionTrials, pauses, Optional.of(now));
    }

    /** Returns whether a request is like those under which upstreams crashed. */
    boolean crashesUpstreams(CallDescription call) {
        return !crashes().causes().isEmpty() && crashes().isCause(call.prompt().partIdentifiers());
    }

    RetryBudget retryBudget(TargetName target) {
        return retryBudgets.getOrDefault(target, RetryBudget.EMPTY);
    }
}
