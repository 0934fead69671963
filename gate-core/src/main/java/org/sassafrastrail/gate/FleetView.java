package org.sassafrastrail.gate;

import org.sassafrastrail.gate.crash.CrashEvidence;

/**
 * What a gateway knows together with the other gateways.
 *
 * @param peers the other gateways
 * @param shares the tokens recently requested by and served to each client account over the fleet
 * @param crashes what is known of crashes of upstreams
 */
record FleetView(Peers peers, AccountShares shares, CrashEvidence crashes) {

    FleetView with(Peers next) {
        return new FleetView(next, shares, crashes);
    }

    FleetView with(AccountShares next) {
        return new FleetView(peers, next, crashes);
    }

    FleetView with(CrashEvidence next) {
        return new FleetView(peers, shares, next);
    }
}
