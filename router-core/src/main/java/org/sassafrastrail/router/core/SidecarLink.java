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
 * The state of a link to a sidecar.
 *
 * @param node the sidecar
 * @param incarnation the incarnation of the sidecar
 * @param profile what the upstream of the sidecar serves
 * @param heartbeat the last heartbeat of the sidecar
 * @param lastReceivedAt when the last message was received from the sidecar
 * @param leaving whether the platform is removing the VM of the sidecar
 * @param reportedDemand the number of queued requests last reported to the sidecar, for each client account
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
     * Returns whether the upstream had a free slot at the last heartbeat. This may be out of date, so it is only used
     * to rank sidecars.
     *
     * @return whether fewer requests were in flight than the limit
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

    /** Records that a grant was used or returned, after which the sidecar expects one queued request less. */
    SidecarLink grantConsumed(AccountName account) {
        int remaining = Math.max(0, reportedDemand.getOrDefault(account, 0) - 1);
        return withReportedDemand(
                remaining == 0 ? reportedDemand.minus(account) : reportedDemand.plus(account, remaining));
    }

    SidecarLink withoutDemand(AccountName account) {
        return withReportedDemand(reportedDemand.minus(account));
    }
}
