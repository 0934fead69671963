package org.sassafrastrail.model;

/** Why a router returns a grant instead of using it. */
public enum GrantReturnReason {
    /** No request of the account waits here any longer. */
    NO_DEMAND,
    /** The sidecar's failure domain is out. */
    FAILURE_DOMAIN_OUT,
    /** The platform is taking the sidecar's VM away. */
    VM_LEAVING,
    /** The version already has its share of the traffic. */
    VERSION_SHARE_REACHED,
    /** The version is suspended. */
    VERSION_SUSPENDED,
    /** The router has no configuration, or has to confirm it after a pause. */
    CONFIGURATION_UNCONFIRMED
}
