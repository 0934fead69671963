package org.sassafrastrail.gateway;

import java.time.Duration;

/** Decides which requests and connections this process accepts. */
interface AdmissionPolicy {

    /**
     * Decides whether to accept a request, before its body is read.
     *
     * @param latencyTarget the time within which a response to the request is on time
     * @param sender the client account of the request, or its route if it has none
     * @return whether the request is accepted
     */
    boolean admits(Duration latencyTarget, String sender);

    /**
     * Returns whether this process has caught up with its load, so that new callers may connect to it.
     *
     * @return false while this process is overloaded
     */
    boolean isCaughtUp();

    /**
     * Returns the limit on callers' connections.
     *
     * @return the maximum number of open connections
     */
    int maxConnections();
}
