package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;

/**
 * The decaying tokens that each client account requested and was served, at one gateway or summed over several.
 *
 * @param halfLife the time in which a token decays to half
 * @param accounts the tokens of each account that has any, by account name
 */
record AccountLedger(Duration halfLife, Map<String, DecayingTokens> accounts) {

    static AccountLedger empty(Duration halfLife) {
        return new AccountLedger(halfLife, Map.of());
    }

    DecayingTokens tokens(String account, Instant now) {
        DecayingTokens recorded = accounts.get(account);
        return recorded == null ? DecayingTokens.zero(now) : recorded.decayedTo(now, halfLife);
    }

    boolean isNegligible(Instant now) {
        return accounts.keySet().stream()
                .allMatch(account -> tokens(account, now).isNegligible());
    }

    AccountLedger plus(String account, double requested, double served, Instant now) {
        return with(Map.of(account, tokens(account, now).plus(requested, served)));
    }

    /** Drops accounts whose tokens have decayed to nothing. */
    AccountLedger withoutNegligible(Instant now) {
        Map<String, DecayingTokens> kept = new HashMap<>(accounts);
        kept.keySet().removeIf(account -> tokens(account, now).isNegligible());
        return new AccountLedger(halfLife, Collections.unmodifiableMap(kept));
    }

    /** Replaces the tokens of the given accounts. */
    AccountLedger with(Map<String, DecayingTokens> changes) {
        Map<String, DecayingTokens> next = new HashMap<>(accounts);
        next.putAll(changes);
        changes.forEach((account, tokens) -> {
            if (tokens.isNegligible()) {
                next.remove(account);
            }
        });
        return new AccountLedger(halfLife, Collections.unmodifiableMap(next));
    }
}
