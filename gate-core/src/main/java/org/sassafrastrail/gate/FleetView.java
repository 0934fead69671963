package org.sassafrastrail.gate;

import org.sassafrastrail.gate.capacity.LearnedCapacity;
import org.sassafrastrail.gate.crash.CrashEvidence;
import org.sassafrastrail.gate.crash.CrashRecord;
import org.sassafrastrail.gate.limit.Permits;
import org.sassafrastrail.gate.limit.RateLimits;

/**
 * What a gateway knows together with the other gateways.
 *
 * @param peers the other gateways
 * @param shares the tokens recently requested by and served to each client account over the fleet
 * @param crashes what is known of crashes of upstreams
 * @param drainNotices the upstreams that said that they are draining
 * @param rateLimits the limits that upstreams named on their requests
 * @param permits the permits for upstreams with a limit
 * @param domains the failure domains of the gateways
 * @param capacity what responses show of the speed of upstreams
 * @param crashRecord what was recorded of the crashes
 */
record FleetView(
        Peers peers,
        AccountShares shares,
        CrashEvidence crashes,
        DrainNotices drainNotices,
        RateLimits rateLimits,
        Permits permits,
        GatewayDomains domains,
        LearnedCapacity capacity,
        CrashRecord crashRecord) {

    FleetView with(Peers next) {
        return new FleetView(next, shares, crashes, drainNotices, rateLimits, permits, domains, capacity, crashRecord);
    }

    FleetView with(AccountShares next) {
        return new FleetView(peers, next, crashes, drainNotices, rateLimits, permits, domains, capacity, crashRecord);
    }

    FleetView with(CrashEvidence next) {
        return new FleetView(peers, shares, next, drainNotices, rateLimits, permits, domains, capacity, crashRecord);
    }

    FleetView with(DrainNotices next) {
        return new FleetView(peers, shares, crashes, next, rateLimits, permits, domains, capacity, crashRecord);
    }

    FleetView with(RateLimits next) {
        return new FleetView(peers, shares, crashes, drainNotices, next, permits, domains, capacity, crashRecord);
    }

    FleetView with(Permits next) {
        return new FleetView(peers, shares, crashes, drainNotices, rateLimits, next, domains, capacity, crashRecord);
    }

    FleetView with(GatewayDomains next) {
        return new FleetView(peers, shares, crashes, drainNotices, rateLimits, permits, next, capacity, crashRecord);
    }

    FleetView with(LearnedCapacity next) {
        return new FleetView(peers, shares, crashes, drainNotices, rateLimits, permits, domains, next, crashRecord);
    }

    FleetView with(CrashRecord next) {
        return new FleetView(peers, shares, crashes, drainNotices, rateLimits, permits, domains, capacity, next);
    }
}
