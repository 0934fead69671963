package org.sassafrastrail.model;

/** Why a sidecar did not run an attempt. The attempt never reached the upstream. */
public enum NotRunReason {
    /** The sidecar never issued the grant, or the grant was already used or withdrawn. */
    GRANT_UNKNOWN,
    /** The grant had expired before it was used. */
    GRANT_EXPIRED,
    /** The failure domain was taken out of service after the grant was issued. */
    FAILURE_DOMAIN_OUT,
    /** The upstream is leaving the fleet. */
    LEAVING,
    /** The version was suspended after the grant was issued. */
    VERSION_SUSPENDED,
    /** The upstream refused the connection. */
    UPSTREAM_UNREACHABLE,
    /** The router did not send the attempt, could not reach the sidecar, or the sidecar had not started the attempt. */
    NEVER_ARRIVED
}
