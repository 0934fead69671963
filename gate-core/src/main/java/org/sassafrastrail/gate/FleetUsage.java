package org.sassafrastrail.gate;

import java.time.Duration;
import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What each client account got lately over the whole fleet, as far as this gateway has heard.
 *
 * @param here what they got at this gateway
 * @param elsewhere what they got at each other gateway, by its name
 * @param sum what they got at all other gateways
 */
record FleetUsage(AccountUsage here, PMap<String, AccountUsage> elsewhere, AccountUsage sum) {

    static FleetUsage fadingIn(Duration fading) {
        return new FleetUsage(AccountUsage.fadingIn(fading), HashTreePMap.empty(), AccountUsage.fadingIn(fading));
    }

    FleetUsage charged(String account, long tokens, Instant now) {
        return new FleetUsage(here.charged(account, tokens, now), elsewhere, sum);
    }

    FleetUsage reported(String peer, PMap<String, Long> usage, Instant now) {
        AccountUsage before = elsewhere.getOrDefault(peer, AccountUsage.fadingIn(here.fading()));
        AccountUsage after = here.reported(usage, now);
        return new FleetUsage(
                here, elsewhere.plus(peer, after), sum.minus(before, now).plus(after, now));
    }

    double tokens(String account, Instant now) {
        return here.tokens(account, now) + sum.tokens(account, now);
    }
}
