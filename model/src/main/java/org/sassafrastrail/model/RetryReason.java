package org.sassafrastrail.model;

/** Why a router tries a request again. */
public enum RetryReason {
    /** The sidecar said that the attempt did not run. */
    NOT_RUN,
    /** The upstream answered with a server error and the request is idempotent. */
    UPSTREAM_FAILED,
    /** The attempt's outcome is unknown and the request is idempotent. */
    OUTCOME_UNKNOWN
}
