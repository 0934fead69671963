package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The tokens that client accounts recently requested and were served over the fleet, and the share of the upstreams' capacity
 * that follows for each. It has two factors. The first keeps an account that is beyond its part of the configured capacity
 * from filling the upstreams. The second leads accounts to equal shares of what is served, wherever their callers connect.
 *
 * @param local the tokens of this gateway
 * @param remote the total tokens of all other gateways
 * @param reports the tokens of each other gateway, by its last reports
 * @param levels the max-min fair share levels
 * @param corrections the corrections that lead each account to its fair share
 */
record AccountShares(
        AccountLedger local,
        AccountLedger remote,
        Map<String, AccountLedger> reports,
        FairLevels levels,
        ShareCorrections corrections) {

    /** Tokens served one quota window ago count for a sixteenth. */
    private static final int HALF_LIVES_PER_WINDOW = 4;

    /** Accounts that exceed the level by no more than this factor and these tokens count as within it. */
    private static final double LEVEL_TOLERANCE_FACTOR = 1.25;

    /** A difference of about one request says nothing about an account's share. */
    private static final double LEVEL_TOLERANCE_TOKENS = 5_000;

    /** Limits what a single update can learn from an account that has just begun or stopped. */
    private static final double MAX_EXCESS = 1;

    static AccountShares forQuotaWindow(Duration quotaWindow) {
        AccountLedger empty = AccountLedger.empty(quotaWindow.dividedBy(HALF_LIVES_PER_WINDOW));
        return new AccountShares(empty, empty, Map.of(), FairLevels.NONE, ShareCorrections.NONE);
    }

    AccountShares withRequested(String account, long tokens, Instant now) {
        return new AccountShares(local.plus(account, tokens, 0, now), remote, reports, levels, corrections);
    }

    AccountShares withServed(String account, long tokens, Instant now) {
        return new AccountShares(local.plus(account, 0, tokens, now), remote, reports, levels, corrections);
    }

    /** Applies a peer's report incrementally, without iterating over the reports of the other peers. */
    AccountShares withReport(String peer, GatewayReport report, Instant now) {
        AccountLedger before = reports.getOrDefault(peer, AccountLedger.empty(local.halfLife()));
        Map<String, DecayingTokens> changes = changes(before, report, now);
        Map<String, DecayingTokens> sums = new HashMap<>();
        changes.forEach((account, after) ->
                sums.put(account, remote.tokens(account, now).plus(after).minus(before.tokens(account, now))));
        Map<String, AccountLedger> next = new HashMap<>(reports);
        next.put(peer, before.with(changes));
        return new AccountShares(local, remote.with(sums), Collections.unmodifiableMap(next), levels, corrections);
    }

    /** Drops what disconnected peers reported once it has decayed to nothing. */
    AccountShares withoutIdleReports(Set<String> connected, Instant now) {
        Map<String, AccountLedger> kept = new HashMap<>(reports);
        kept.entrySet()
                .removeIf(report -> !connected.contains(report.getKey())
                        && report.getValue().isNegligible(now));
        return new AccountShares(local, remote, Collections.unmodifiableMap(kept), levels, corrections);
    }

    /** Drops accounts whose tokens have decayed to nothing. */
    AccountShares withoutIdleAccounts(Instant now) {
        return new AccountShares(
                local.withoutNegligible(now), remote.withoutNegligible(now), reports, levels, corrections);
    }

    private static Map<String, DecayingTokens> changes(AccountLedger before, GatewayReport report, Instant now) {
        Map<String, DecayingTokens> changes = new HashMap<>();
        if (report.full()) {
            before.accounts().keySet().forEach(account -> changes.put(account, DecayingTokens.zero(now)));
        }
        report.accounts()
                .forEach((account, tokens) ->
                        changes.put(account, new DecayingTokens(tokens.requested(), tokens.served(), now)));
        return changes;
    }

    private static Stream<String> accountsInEither(Map<String, ?> one, Map<String, ?> other) {
        return Stream.concat(
                one.keySet().stream(), other.keySet().stream().filter(account -> !one.containsKey(account)));
    }

    /** Returns the decayed local tokens of the accounts with requests since the given time. */
    Map<String, AccountTokens> changedSince(Instant since, Instant now) {
        return local.accounts().entrySet().stream()
                .filter(account -> !account.getValue().asOf().isBefore(since))
                .collect(Collectors.toUnmodifiableMap(
                        Map.Entry::getKey, account -> rounded(account.getValue().decayedTo(now, local.halfLife()))));
    }

    private static AccountTokens rounded(DecayingTokens tokens) {
        return new AccountTokens(Math.round(tokens.requested()), Math.round(tokens.served()));
    }

    /** Recomputes the fair share levels and corrections for a configured capacity in tokens per second. */
    AccountShares withUpdatedLevels(double tokensPerSecond, Instant now) {
        Map<String, DecayingTokens> tokens = accountsInEither(local.accounts(), remote.accounts())
                .collect(Collectors.toMap(Function.identity(), account -> fleetTokens(account, now)));
        FairLevels next = levels(tokens.values(), DecayingTokens.steadyState(tokensPerSecond, local.halfLife()));
        Map<String, Double> excess = tokens.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, account -> excess(account.getValue(), next)));
        return new AccountShares(local, remote, reports, next, corrections.updated(excess, now));
    }

    private static FairLevels levels(Collection<DecayingTokens> tokens, double configured) {
        double served = tokens.stream().mapToDouble(DecayingTokens::served).sum();
        List<Double> demands = tokens.stream().map(AccountShares::demand).toList();
        return new FairLevels(MaxMinLevel.of(demands, served), MaxMinLevel.of(demands, Math.min(served, configured)));
    }

    /**
     * Returns the natural logarithm of the served tokens as a multiple of those that the account is owed, 0 while all accounts
     * are served what they request.
     */
    private static double excess(DecayingTokens tokens, FairLevels levels) {
        if (Double.isInfinite(levels.ofServed())) {
            return 0;
        }
        double owed = Math.min(demand(tokens), levels.ofServed());
        double excess = Math.log((tokens.served() + LEVEL_TOLERANCE_TOKENS) / (owed + LEVEL_TOLERANCE_TOKENS));
        return Math.max(-MAX_EXCESS, Math.min(MAX_EXCESS, excess));
    }

    /** Returns the tokens of an account over the fleet. */
    DecayingTokens fleetTokens(String account, Instant now) {
        return local.tokens(account, now).plus(remote.tokens(account, now));
    }

    /** Served tokens are a lower bound: a disconnected peer may have reported them without the requested ones. */
    private static double demand(DecayingTokens tokens) {
        return Math.max(tokens.requested(), tokens.served());
    }

    /** Returns the tokens served to an account over the fleet. */
    double servedTokens(String account, Instant now) {
        return fleetTokens(account, now).served();
    }

    /**
     * Returns the share of upstream capacity that an account may use.
     *
     * @param account the account
     * @param minShare the share that an account may use however far it is beyond its part of the configured capacity,
     *     before its correction
     * @param now the time
     * @return the share, above 1 for an account that is served less than it is owed
     */
    double capacityShare(String account, double minShare, Instant now) {
        DecayingTokens tokens = fleetTokens(account, now);
        double ratio = tokens.served() / (levels.ofConfigured() * LEVEL_TOLERANCE_FACTOR + LEVEL_TOLERANCE_TOKENS);
        double ofConfigured = ratio <= 1 ? 1 : Math.max(minShare, 1 / ratio);
        return ofConfigured * corrections.factor(account, excess(tokens, levels));
    }
}
