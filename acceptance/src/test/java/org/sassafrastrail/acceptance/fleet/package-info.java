/**
 * Simulates a fleet in memory over virtual time. It is another front end for the same router and sidecar cores, without
 * sockets, threads or a clock.
 */
package org.sassafrastrail.acceptance.fleet;
