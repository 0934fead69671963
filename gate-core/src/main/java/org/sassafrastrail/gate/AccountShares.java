package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The tokens that client accounts recently requested and were served over the fleet, and the max-min fair share level:
 * the common limit per account that divides the served tokens, or the configured capacity if that is less, among the
 * accounts.
 *
 * @param local the tokens of this gateway
 * @param remote the total tokens of all other gateways
 * @param reports the tokens of each other gateway, by its last reports
 * @param level the fair share level in tokens, infinite while all accounts are served what they request
 */
record AccountShares(AccountLedger local, AccountLedger remote, Map<String, AccountLedger> reports, double level) {

    /** Tokens served one quota window ago count for a sixteenth. */
    private static final int HALF_LIVES_PER_WINDOW = 4;

    /** Accounts that exceed the level by no more than this factor and these tokens count as within it. */
    private static final double LEVEL_TOLERANCE_FACTOR = 1.25;

    private static final double LEVEL_TOLERANCE_TOKENS = 5_000;

    static AccountShares forQuotaWindow(Duration quotaWindow) {
        AccountLedger empty = AccountLedger.empty(quotaWindow.dividedBy(HALF_LIVES_PER_WINDOW));
        return new AccountShares(empty, empty, Map.of(), Double.POSITIVE_INFINITY);
    }

    AccountShares withRequested(String account, long tokens, Instant now) {
        return new AccountShares(local.plus(account, tokens, 0, now), remote, reports, level);
    }

    AccountShares withServed(String account, long tokens, Instant now) {
        return new AccountShares(local.plus(account, 0, tokens, now), remote, reports, level);
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
        return new AccountShares(local, remote.with(sums), Collections.unmodifiableMap(next), level);
    }

    /** Drops what disconnected peers reported once it has decayed to nothing. */
    AccountShares withoutIdleReports(Set<String> connected, Instant now) {
        Map<String, AccountLedger> kept = new HashMap<>(reports);
        kept.entrySet()
                .removeIf(report -> !connected.contains(report.getKey())
                        && report.getValue().isNegligible(now));
        return new AccountShares(local, remote, Collections.unmodifiableMap(kept), level);
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

    /** Recomputes the fair share level for a capacity in tokens per second. */
    AccountShares withUpdatedLevel(double tokensPerSecond, Instant now) {
        List<DecayingTokens> tokens = accountsInEither(local.accounts(), remote.accounts())
                .map(account -> fleetTokens(account, now))
                .toList();
        double served = tokens.stream().mapToDouble(DecayingTokens::served).sum();
        double total = Math.min(served, DecayingTokens.steadyState(tokensPerSecond, local.halfLife()));
        List<Double> demands = tokens.stream().map(AccountShares::demand).toList();
        return new AccountShares(local, remote, reports, MaxMinLevel.of(demands, total));
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
     * Returns the ratio of served tokens to the fair share level with its tolerance, at most 1 for accounts within it.
     */
    double ratioToFairShare(double tokens) {
        return tokens / (level * LEVEL_TOLERANCE_FACTOR + LEVEL_TOLERANCE_TOKENS);
    }
}
