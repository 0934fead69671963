package org.sassafrastrail.gateway;

import java.time.Duration;

/** What this process takes in. */
interface AdmissionPolicy {

    /**
     * Decides on a request, before its body is read.
     *
     * @param aim within which an answer to it is on time
     * @param sender the client account that it belongs to, or its route if it has none
     * @return whether it is taken in
     */
    boolean admits(Duration latencyTarget, String sender);

    /**
     * Tells whether new callers had better come here than elsewhere.
     *
     * @return whether this process keeps up with those that it has
     */
    boolean isCaughtUp();

    /**
     * Limits the callers' connections.
     *
     * @return how many may be open
     */
    int maxConnections();
}
