package org.sassafrastrail.router.core;

import java.time.Instant;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.sassafrastrail.messages.Heartbeat;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.Revision;
import org.sassafrastrail.model.UpstreamProfile;

/**
 * What a router knows of a sidecar that it is linked to.
 *
 * @param node the sidecar
 * @param incarnation its life
 * @param profile what its upstream serves
 * @param heartbeat the last heartbeat
 * @param lastReceivedAt when the sidecar last said anything
 * @param leaving whether the platform is taking its VM away
 * @param reportedDemand how many waiting requests of each account it was reportedDemand of
 */
public record SidecarLink(
        NodeName node,
        Incarnation incarnation,
        UpstreamProfile profile,
        Heartbeat heartbeat,
        Instant lastReceivedAt,
        boolean leaving,
        PMap<AccountName, Integer> reportedDemand) {

    static SidecarLink initial(NodeName node, Incarnation incarnation, UpstreamProfile profile, Instant now) {
        Heartbeat unknown = new Heartbeat(Revision.NONE, 0, 1, false);
        return new SidecarLink(node, incarnation, profile, unknown, now, false, HashTreePMap.empty());
    }

    /**
     * Tells whether the upstream seems to have a free place. The view lags, so this only ranks sidecars.
     *
     * @return whether the last heartbeat showed a free place
     */
    public boolean hasFreeSlot() {
        return heartbeat.inFlight() < heartbeat.limit();
    }

    SidecarLink received(Instant now) {
        return new SidecarLink(node, incarnation, profile, heartbeat, now, leaving, reportedDemand);
    }

    SidecarLink with(Heartbeat next) {
        return new SidecarLink(node, incarnation, profile, next, lastReceivedAt, leaving, reportedDemand);
    }

    SidecarLink leaving(boolean next) {
        return new SidecarLink(node, incarnation, profile, heartbeat, lastReceivedAt, next, reportedDemand);
    }

    SidecarLink withReportedDemand(PMap<AccountName, Integer> counts) {
        return new SidecarLink(node, incarnation, profile, heartbeat, lastReceivedAt, leaving, counts);
    }

    /** A grant was used or returned, so the sidecar expects one request less. */
    SidecarLink grantConsumed(AccountName account) {
        int remaining = Math.max(0, reportedDemand.getOrDefault(account, 0) - 1);
        return withReportedDemand(
                remaining == 0 ? reportedDemand.minus(account) : reportedDemand.plus(account, remaining));
    }

    SidecarLink withoutDemand(AccountName account) {
        return withReportedDemand(reportedDemand.minus(account));
    }
}
