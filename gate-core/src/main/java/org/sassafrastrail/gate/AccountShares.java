package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What client accounts asked and got lately over the fleet, and the level up to which all of them could have got the
 * same: the max-min fair share of what was given out, or of the capacity that operators state if that is less.
 *
 * @param local what they asked and got at this gateway
 * @param remote what they asked and got at all others
 * @param reports what accounts asked and got at each other gateway, as it said last
 * @param level the level in tokens, infinite while all get what they ask for
 */
record AccountShares(AccountLedger local, AccountLedger remote, Map<String, AccountLedger> reports, double level) {

    /** What was got a quota window ago counts a sixteenth. */
    private static final int HALF_LIVES_PER_WINDOW = 4;

    /** Accounts this close to the level, as a share and in tokens, are at it. */
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

    /** Takes in a gateway's report; those of the others are not gone through. */
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

    /** What accounts asked and got here, as it counts now, of those for which anything came since a moment. */
    Map<String, AccountTokens> changedSince(Instant since, Instant now) {
        return local.accounts().entrySet().stream()
                .filter(account -> !account.getValue().asOf().isBefore(since))
                .collect(Collectors.toUnmodifiableMap(
                        Map.Entry::getKey, account -> rounded(account.getValue().decayedTo(now, local.halfLife()))));
    }

    private static AccountTokens rounded(DecayingTokens tokens) {
        return new AccountTokens(Math.round(tokens.requested()), Math.round(tokens.served()));
    }

    /** Finds the level anew, for a capacity in tokens a second. */
    AccountShares withUpdatedLevel(double tokensPerSecond, Instant now) {
        List<DecayingTokens> tokens = accountsInEither(local.accounts(), remote.accounts())
                .map(account -> fleetTokens(account, now))
                .toList();
        double served = tokens.stream().mapToDouble(DecayingTokens::served).sum();
        double total = Math.min(served, DecayingTokens.steadyState(tokensPerSecond, local.halfLife()));
        List<Double> demands = tokens.stream().map(AccountShares::demand).toList();
        return new AccountShares(local, remote, reports, MaxMinLevel.of(demands, total));
    }

    private DecayingTokens fleetTokens(String account, Instant now) {
        return local.tokens(account, now).plus(remote.tokens(account, now));
    }

    /** A gateway that is not heard any more may have said what an account got and not yet what it asked. */
    private static double demand(DecayingTokens tokens) {
        return Math.max(tokens.requested(), tokens.served());
    }

    /** What an account got, over the fleet. */
    double servedTokens(String account, Instant now) {
        return fleetTokens(account, now).served();
    }

    /** How far an account that got these tokens is above the level, 1 at most if it is not. */
    double ratioToFairShare(double tokens) {
        return tokens / (level * LEVEL_TOLERANCE_FACTOR + LEVEL_TOLERANCE_TOKENS);
    }
}
