package org.sassafrastrail.model;

/** Why a router returns a grant instead of using it. */
public enum GrantReturnReason {
    /** The account no longer has queued requests at this router. */
    NO_DEMAND,
    /** The sidecar's failure domain is out of service. */
    FAILURE_DOMAIN_OUT,
    /** The platform is removing the sidecar's VM. */
    VM_LEAVING,
    /** The version has already received its share of the traffic. */
    VERSION_SHARE_REACHED,
    /** The version is suspended. */
    VERSION_SUSPENDED,
    /** The router has no configuration, or has not confirmed it since its last pause. */
    CONFIGURATION_UNCONFIRMED
}
