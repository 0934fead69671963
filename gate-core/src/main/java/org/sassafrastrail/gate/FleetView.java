package org.sassafrastrail.gate;

import org.sassafrastrail.gate.crash.CrashEvidence;

/**
 * What a gateway knows together with the other gateways.
 *
 * @param peers the other gateways
 * @param shares the tokens recently requested by and served to each client account over the fleet
 * @param crashes what is known of crashes of upstreams
 * @param drainNotices the upstreams that said that they are draining
 */
record FleetView(Peers peers, AccountShares shares, CrashEvidence crashes, DrainNotices drainNotices) {

    FleetView with(Peers next) {
        return new FleetView(next, shares, crashes, drainNotices);
    }

    FleetView with(AccountShares next) {
        return new FleetView(peers, next, crashes, drainNotices);
    }

    FleetView with(CrashEvidence next) {
        return new FleetView(peers, shares, next, drainNotices);
    }

    FleetView with(DrainNotices next) {
        return new FleetView(peers, shares, crashes, next);
    }
}
