package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What each client account asked and got lately at one place.
 *
 * @param halfLife the time in which tokens count half
 * @param accounts the accounts that have anything, by their names
 */
record AccountLedger(Duration halfLife, PMap<String, FadingTokens> accounts) {

    static AccountLedger empty(Duration halfLife) {
        return new AccountLedger(halfLife, HashTreePMap.empty());
    }

    FadingTokens of(String account, Instant now) {
        FadingTokens tokens = accounts.get(account);
        return tokens == null ? FadingTokens.none(now) : tokens.at(now, halfLife);
    }

    AccountLedger plus(String account, double asked, double got, Instant now) {
        FadingTokens sum = of(account, now).plus(asked, got);
        return new AccountLedger(halfLife, sum.isNothing() ? accounts.minus(account) : accounts.plus(account, sum));
    }
}
