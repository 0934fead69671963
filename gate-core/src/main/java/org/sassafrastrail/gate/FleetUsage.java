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
 */
record FleetUsage(AccountUsage here, PMap<String, AccountUsage> elsewhere) {

    static FleetUsage fadingIn(Duration fading) {
        return new FleetUsage(AccountUsage.fadingIn(fading), HashTreePMap.empty());
    }

    FleetUsage charged(String account, long tokens, Instant now) {
        return new FleetUsage(here.charged(account, tokens, now), elsewhere);
    }

    FleetUsage reported(String peer, PMap<String, Long> usage, Instant now) {
        return new FleetUsage(here, elsewhere.plus(peer, here.reported(usage, now)));
    }

    double tokens(String account, Instant now) {
        return here.tokens(account, now)
                + elsewhere.values().stream()
                        .mapToDouble(peer -> peer.tokens(account, now))
                        .sum();
    }
}
