package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.stream.Collectors;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What each client account got lately of the shared capacity, in tokens that fade with time.
 *
 * @param fading the time in which what was got counts half
 * @param accounts what each account got, by its name
 */
record AccountUsage(Duration fading, PMap<String, Used> accounts) {

    /** Tokens as they counted at a moment. */
    record Used(double tokens, Instant at) {}

    static AccountUsage fadingIn(Duration fading) {
        return new AccountUsage(fading, HashTreePMap.empty());
    }

    AccountUsage charged(String account, long tokens, Instant now) {
        return new AccountUsage(fading, accounts.plus(account, new Used(tokens(account, now) + tokens, now)));
    }

    /** What accounts got, as it counts now, without those that got less than a token. */
    PMap<String, Long> now(Instant now) {
        return HashTreePMap.from(accounts.keySet().stream()
                .filter(account -> tokens(account, now) >= 1)
                .collect(Collectors.toMap(account -> account, account -> Math.round(tokens(account, now)))));
    }

    /** The usage that was reported at a moment. */
    AccountUsage reported(PMap<String, Long> tokens, Instant now) {
        return new AccountUsage(
                fading,
                HashTreePMap.from(tokens.entrySet().stream()
                        .collect(Collectors.toMap(Map.Entry::getKey, entry -> new Used(entry.getValue(), now)))));
    }

    AccountUsage plus(AccountUsage other, Instant now) {
        return other.accounts.keySet().stream()
                .reduce(this, (sum, account) -> sum.added(account, other.tokens(account, now), now), (a, b) -> b);
    }

    AccountUsage minus(AccountUsage other, Instant now) {
        return other.accounts.keySet().stream()
                .reduce(this, (sum, account) -> sum.added(account, -other.tokens(account, now), now), (a, b) -> b);
    }

    /** Accounts with less than a token are left out. */
    private AccountUsage added(String account, double tokens, Instant now) {
        double sum = tokens(account, now) + tokens;
        return new AccountUsage(fading, sum < 1 ? accounts.minus(account) : accounts.plus(account, new Used(sum, now)));
    }

    double tokens(String account, Instant now) {
        Used used = accounts.get(account);
        if (used == null) {
            return 0;
        }
        double halves = (double) Duration.between(used.at(), now).toNanos() / fading.toNanos();
        return used.tokens() * Math.pow(2, -Math.max(0, halves));
    }
}
