package org.sassafrastrail.model;

/** Why a sidecar did not run an attempt. The attempt never reached the upstream. */
public enum NotRunReason {
    /** The sidecar never made the grant, or it was used or withdrawn. */
    GRANT_UNKNOWN,
    /** The grant was used after it expired. */
    GRANT_EXPIRED,
    /** The failure domain was taken out after the grant was made. */
    FAILURE_DOMAIN_OUT,
    /** The upstream is leaving. */
    LEAVING,
    /** The version was suspended after the grant was made. */
    VERSION_SUSPENDED,
    /** The upstream refused the connection. */
    UPSTREAM_UNREACHABLE,
    /** The router could not reach the sidecar, which had not begun the attempt. */
    NEVER_ARRIVED
}
