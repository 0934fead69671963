package org.sassafrastrail.model;

/** Why a router refused a request. Each of these says truthfully that the request did not run. */
public enum RefusalReason {
    /** The router has no configuration yet. */
    NO_CONFIGURATION,
    /** The caller's key belongs to no client account. */
    UNKNOWN_ACCOUNT,
    /** No rule names the model or service. */
    UNKNOWN_TARGET,
    /** The request is not well formed. */
    MALFORMED_REQUEST,
    /** The body is larger than the router accepts. */
    BODY_TOO_LARGE,
    /** The account already has as many requests waiting at this router as its rule allows. */
    ACCOUNT_QUEUE_FULL,
    /** The request waited until its deadline and no upstream took it. */
    DEADLINE_EXCEEDED,
    /** The router's own threads are further behind than the request may wait. */
    ROUTER_OVERLOADED,
    /** The router is shutting down and takes no new request. */
    ROUTER_STOPPING,
    /** Another request holds the same idempotency key. */
    IDEMPOTENCY_KEY_CLAIMED,
    /** The platform's table could not confirm the idempotency key in time. */
    IDEMPOTENCY_STORE_UNAVAILABLE,
    /** Upstreams refused the request and the retry budget is spent. */
    RETRY_BUDGET_SPENT,
    /** The caller closed the connection while the request waited. */
    CALLER_GONE,
    /** The request waited as long as is useful and no upstream had a place for it. */
    HELD_TOO_LONG,
    /** Every upstream that was tried said that it did not run the request, or could not be reached. */
    UPSTREAM_DECLINED
}
