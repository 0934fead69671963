package org.sassafrastrail.gateway;

import org.sassafrastrail.gate.Route;

/** What this process takes in. */
interface Admission {

    /**
     * Decides on a request, before its body is read.
     *
     * @param route the request's route
     * @return whether it is taken in
     */
    boolean admits(Route route);

    /**
     * Tells whether new callers had better come here than elsewhere.
     *
     * @return whether this process keeps up with those that it has
     */
    boolean keepsUp();

    /**
     * Limits the callers' connections.
     *
     * @return how many may be open
     */
    int mostConnections();
}
