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
 * @param heardAt when the sidecar last said anything
 * @param leaving whether the platform is taking its VM away
 * @param told how many waiting requests of each account it was told of
 */
public record SidecarLink(
        NodeName node,
        Incarnation incarnation,
        UpstreamProfile profile,
        Heartbeat heartbeat,
        Instant heardAt,
        boolean leaving,
        PMap<AccountName, Integer> told) {

    static SidecarLink fresh(NodeName node, Incarnation incarnation, UpstreamProfile profile, Instant now) {
        Heartbeat unknown = new Heartbeat(Revision.NONE, 0, 1, false);
        return new SidecarLink(node, incarnation, profile, unknown, now, false, HashTreePMap.empty());
    }

    /**
     * Tells whether the upstream seems to have a free place. The view lags, so this only ranks sidecars.
     *
     * @return whether the last heartbeat showed a free place
     */
    public boolean seemsFree() {
        return heartbeat.inFlight() < heartbeat.limit();
    }

    SidecarLink heard(Instant now) {
        return new SidecarLink(node, incarnation, profile, heartbeat, now, leaving, told);
    }

    SidecarLink with(Heartbeat next) {
        return new SidecarLink(node, incarnation, profile, next, heardAt, leaving, told);
    }

    SidecarLink leaving(boolean next) {
        return new SidecarLink(node, incarnation, profile, heartbeat, heardAt, next, told);
    }

    SidecarLink told(PMap<AccountName, Integer> counts) {
        return new SidecarLink(node, incarnation, profile, heartbeat, heardAt, leaving, counts);
    }

    /** A grant was used or returned, so the sidecar expects one request less. */
    SidecarLink granted(AccountName account) {
        int left = Math.max(0, told.getOrDefault(account, 0) - 1);
        return told(left == 0 ? told.minus(account) : told.plus(account, left));
    }

    SidecarLink forgotten(AccountName account) {
        return told(told.minus(account));
    }
}
