package org.sassafrastrail.gateway;

import java.util.Set;

import org.sassafrastrail.messages.DutyUpdate;
import org.sassafrastrail.messages.UsageUpdate;

/** The links to the other gateways, over which they coordinate duties. */
interface DutyPeers {

    /** Tells all peers this gateway's counts. */
    void shareUsage(UsageUpdate update);

    /** Tells all peers that this gateway has written the lease of a duty. */
    void announceLease(DutyUpdate update);

    /** Returns the names of the gateways that are linked. */
    Set<String> linkedPeers();

    /** Sets the receiver of what peers tell. */
    void listen(DutyMessageListener listener);
}
