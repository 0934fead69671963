/**
 * The decisions of a gateway: the route of a request, its admission, scheduling, placement and retries, and the status
 * of each upstream. They are pure functions without sockets, clocks or encodings.
 */
package org.sassafrastrail.gate;
