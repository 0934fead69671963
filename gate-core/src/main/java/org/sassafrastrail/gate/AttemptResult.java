package org.sassafrastrail.gate;

/** How an attempt at an upstream ended. */
public sealed interface AttemptResult {

    /**
     * Tells whether the result proves that the attempt did not run and never will.
     *
     * @return whether it does
     */
    default boolean provesNotRun() {
        return this instanceof NotConnected || this instanceof Declined || this instanceof WrongUpstream;
    }

    /** The caller has the upstream's whole answer. */
    record Delivered() implements AttemptResult {}

    /** No connection could be made; nothing was sent. */
    record NotConnected() implements AttemptResult {}

    /** The upstream said itself that it did not run the request. */
    record Declined() implements AttemptResult {}

    /** Another upstream has the address now; the request did not run. */
    record WrongUpstream() implements AttemptResult {}

    /** The upstream answered with a failure, which is kept and can still be delivered. */
    record Failed() implements AttemptResult {}

    /** The request was sent and no usable answer came. It may have run. */
    record Lost() implements AttemptResult {}

    /** The answer broke off after a part of it had gone to the caller. */
    record Broken() implements AttemptResult {}
}
