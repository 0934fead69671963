package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * What each client account asked and got lately at one place.
 *
 * @param halfLife the time in which tokens count half
 * @param accounts the accounts that have anything, by their names
 */
record AccountLedger(Duration halfLife, Map<String, FadingTokens> accounts) {

    static AccountLedger empty(Duration halfLife) {
        return new AccountLedger(halfLife, Map.of());
    }

    FadingTokens of(String account, Instant now) {
        FadingTokens tokens = accounts.get(account);
        return tokens == null ? FadingTokens.none(now) : tokens.at(now, halfLife);
    }

    AccountLedger plus(String account, double requested, double served, Instant now) {
        return with(Map.of(account, of(account, now).plus(requested, served)));
    }

    /** The ledger with these in place of what it has of the same accounts. */
    AccountLedger with(Map<String, FadingTokens> changes) {
        Map<String, FadingTokens> next = new HashMap<>(accounts);
        next.putAll(changes);
        changes.forEach((account, tokens) -> {
            if (tokens.isNothing()) {
                next.remove(account);
            }
        });
        return new AccountLedger(halfLife, Collections.unmodifiableMap(next));
    }
}
