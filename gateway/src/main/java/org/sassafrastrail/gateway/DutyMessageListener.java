package org.sassafrastrail.gateway;

import org.sassafrastrail.duty.DutyHolder;
import org.sassafrastrail.messages.DutyUpdate;
import org.sassafrastrail.messages.UsageUpdate;

/** Receives what other gateways tell of duties, on any thread. */
interface DutyMessageListener {

    /** Ignores all messages. */
    DutyMessageListener NONE = new DutyMessageListener() {
        @Override
        public void usageReceived(DutyHolder peer, UsageUpdate update) {
            // This gateway has no duties.
        }

        @Override
        public void leaseReceived(DutyHolder peer, DutyUpdate update) {
            // This gateway has no duties.
        }
    };

    /** A peer told its counts. */
    void usageReceived(DutyHolder peer, UsageUpdate update);

    /** A peer has written the lease of a duty. */
    void leaseReceived(DutyHolder peer, DutyUpdate update);
}
