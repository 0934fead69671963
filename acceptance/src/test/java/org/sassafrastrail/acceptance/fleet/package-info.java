/**
 * Drives router cores and sidecar cores in memory over virtual time: another front end over the same decisions, without
 * sockets, threads or a clock.
 */
package org.sassafrastrail.acceptance.fleet;
