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
 * @param here what they asked and got at this gateway
 * @param elsewhere what they asked and got at all others
 * @param reports what accounts asked and got at each other gateway, as it said last
 * @param level the level in tokens, infinite while all get what they ask for
 */
record AccountShares(AccountLedger here, AccountLedger elsewhere, Map<String, AccountLedger> reports, double level) {

    /** What was got a quota window ago counts a sixteenth. */
    private static final int HALVES_IN_WINDOW = 4;

    /** Accounts this close to the level, as a share and in tokens, are at it. */
    private static final double SAME_FACTOR = 1.25;

    private static final double SAME_TOKENS = 5_000;

    static AccountShares over(Duration quotaWindow) {
        AccountLedger nothing = AccountLedger.empty(quotaWindow.dividedBy(HALVES_IN_WINDOW));
        return new AccountShares(nothing, nothing, Map.of(), Double.POSITIVE_INFINITY);
    }

    AccountShares requested(String account, long tokens, Instant now) {
        return new AccountShares(here.plus(account, tokens, 0, now), elsewhere, reports, level);
    }

    AccountShares served(String account, long tokens, Instant now) {
        return new AccountShares(here.plus(account, 0, tokens, now), elsewhere, reports, level);
    }

    /** Takes in a gateway's report; those of the others are not gone through. */
    AccountShares reported(String peer, GatewayReport report, Instant now) {
        AccountLedger before = reports.getOrDefault(peer, AccountLedger.empty(here.halfLife()));
        Map<String, FadingTokens> changes = changes(before, report, now);
        Map<String, FadingTokens> sums = new HashMap<>();
        changes.forEach((account, after) ->
                sums.put(account, elsewhere.of(account, now).plus(after).minus(before.of(account, now))));
        Map<String, AccountLedger> next = new HashMap<>(reports);
        next.put(peer, before.with(changes));
        return new AccountShares(here, elsewhere.with(sums), Collections.unmodifiableMap(next), level);
    }

    private static Map<String, FadingTokens> changes(AccountLedger before, GatewayReport report, Instant now) {
        Map<String, FadingTokens> changes = new HashMap<>();
        if (report.full()) {
            before.accounts().keySet().forEach(account -> changes.put(account, FadingTokens.none(now)));
        }
        report.accounts()
                .forEach((account, tokens) ->
                        changes.put(account, new FadingTokens(tokens.requested(), tokens.served(), now)));
        return changes;
    }

    private static Stream<String> inEither(Map<String, ?> one, Map<String, ?> other) {
        return Stream.concat(
                one.keySet().stream(), other.keySet().stream().filter(account -> !one.containsKey(account)));
    }

    /** What accounts asked and got here, as it counts now, of those for which anything came since a moment. */
    Map<String, AccountTokens> told(Instant since, Instant now) {
        return here.accounts().entrySet().stream()
                .filter(account -> !account.getValue().at().isBefore(since))
                .collect(Collectors.toUnmodifiableMap(
                        Map.Entry::getKey, account -> told(account.getValue().at(now, here.halfLife()))));
    }

    private static AccountTokens told(FadingTokens tokens) {
        return new AccountTokens(Math.round(tokens.requested()), Math.round(tokens.served()));
    }

    /** Finds the level anew, for a capacity in tokens a second. */
    AccountShares levelled(double tokensPerSecond, Instant now) {
        List<FadingTokens> tokens = inEither(here.accounts(), elsewhere.accounts())
                .map(account -> fleet(account, now))
                .toList();
        double given = tokens.stream().mapToDouble(FadingTokens::served).sum();
        double total = Math.min(given, FadingTokens.steady(tokensPerSecond, here.halfLife()));
        List<Double> claims = tokens.stream().map(AccountShares::claim).toList();
        return new AccountShares(here, elsewhere, reports, MaxMinLevel.of(claims, total));
    }

    private FadingTokens fleet(String account, Instant now) {
        return here.of(account, now).plus(elsewhere.of(account, now));
    }

    /** A gateway that is not heard any more may have said what an account got and not yet what it asked. */
    private static double claim(FadingTokens tokens) {
        return Math.max(tokens.requested(), tokens.served());
    }

    /** What an account got, over the fleet. */
    double tokens(String account, Instant now) {
        return fleet(account, now).served();
    }

    /** How far an account that got these tokens is above the level, 1 at most if it is not. */
    double aboveLevel(double tokens) {
        return tokens / (level * SAME_FACTOR + SAME_TOKENS);
    }
}
