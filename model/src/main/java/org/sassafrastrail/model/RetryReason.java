package org.sassafrastrail.model;

/** Why a router retries a request. */
public enum RetryReason {
    /** The sidecar reported that the attempt did not run. */
    NOT_RUN,
    /** The upstream responded with a server error and the request is idempotent. */
    UPSTREAM_FAILED,
    /** The attempt's outcome is unknown and the request is idempotent. */
    OUTCOME_UNKNOWN
}
