package org.sassafrastrail.gateway;

import org.sassafrastrail.gate.Route;

/** Whether this process takes requests in at all, asked before a request's body is read. */
interface Admission {

    /**
     * Decides on a request.
     *
     * @param route the request's route
     * @return whether it is taken in
     */
    boolean admits(Route route);
}
