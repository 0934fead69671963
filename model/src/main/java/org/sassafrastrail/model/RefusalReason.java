package org.sassafrastrail.model;

/** Why a router refused a request. A refused request is known not to have run. */
public enum RefusalReason {
    /** The router has no configuration yet. */
    NO_CONFIGURATION,
    /** The caller's key belongs to no client account. */
    UNKNOWN_ACCOUNT,
    /** No rule names the model or service. */
    UNKNOWN_TARGET,
    /** The request is malformed. */
    MALFORMED_REQUEST,
    /** The body is larger than the router accepts. */
    BODY_TOO_LARGE,
    /** The bodies of the requests in flight use all memory that this process has for them. */
    REQUEST_MEMORY_FULL,
    /** The account already has as many queued requests at this router as its rule allows. */
    ACCOUNT_QUEUE_FULL,
    /** The request was queued until its deadline and no upstream accepted it. */
    DEADLINE_EXCEEDED,
    /** The lag of the router's threads exceeds the maximum wait of the request. */
    ROUTER_OVERLOADED,
    /** The router is shutting down and accepts no new requests. */
    ROUTER_STOPPING,
    /** Another request holds the same idempotency key. */
    IDEMPOTENCY_KEY_CLAIMED,
    /** The platform's table could not confirm the idempotency key in time. */
    IDEMPOTENCY_STORE_UNAVAILABLE,
    /** No attempt ran, and the maximum number of attempts or the retry budget is exhausted. */
    RETRY_BUDGET_SPENT,
    /** The caller disconnected while the request was queued. */
    CALLER_GONE,
    /** The request reached the maximum useful queueing time without a free slot at any upstream. */
    HELD_TOO_LONG,
    /** Upstreams crash under such requests. */
    UPSTREAM_CRASHES,
    /** Every upstream has asked for a pause that is longer than the request may wait. */
    UPSTREAMS_PAUSED,
    /** The limits that all upstreams have named on their requests leave no place within the time that the request may wait. */
    UPSTREAMS_LIMITED,
    /** Every upstream that was tried reported that it did not run the request, or was unreachable. */
    UPSTREAM_DECLINED
}
