package org.sassafrastrail.gate;

/** The result of an attempt at an upstream. */
public sealed interface AttemptResult {

    /**
     * Returns whether the result proves that the request was not executed in this attempt and never will be.
     *
     * @return whether the request was certainly not executed
     */
    default boolean provesNotRun() {
        return !reached() || this instanceof Declined || this instanceof WrongUpstream;
    }

    /**
     * Returns whether the request was sent to the upstream.
     *
     * @return whether at least a part of it was sent
     */
    default boolean reached() {
        return !(this instanceof NotConnected || this instanceof NotSent);
    }

    /** The complete response was delivered to the caller. */
    record Delivered() implements AttemptResult {}

    /** The connection failed and nothing was sent. */
    record NotConnected() implements AttemptResult {}

    /** The caller had disconnected, the deadline had passed, or the upstream wanted no more requests before it was sent. */
    record NotSent() implements AttemptResult {}

    /** The upstream itself reported that it did not execute the request. */
    record Declined() implements AttemptResult {}

    /** The address now belongs to another upstream; the request was not executed. */
    record WrongUpstream() implements AttemptResult {}

    /** The upstream responded with a failure, which is stored and can still be delivered. */
    record Failed() implements AttemptResult {}

    /** The request was sent, but no usable response was received. It may have been executed. */
    record Lost() implements AttemptResult {}

    /** The response was truncated after a part of it had been sent to the caller. */
    record Broken() implements AttemptResult {}
}
