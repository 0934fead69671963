package org.sassafrastrail.gateway;

/** The kinds of responses that an upstream can send. */
enum ResponseKind {
    /** An authenticated response, or a client error, that names the request; it is forwarded to the caller. */
    ANSWERED,
    /** A response with a server error status that names the request: the upstream failed. */
    FAILED,
    /** The upstream states that it did not run the request. */
    DECLINED,
    /** The request reached another upstream than intended, which states that it did not run it. */
    WRONG_UPSTREAM,
    /** An unauthenticated refusal: nothing proves that it belongs to this request, which may have run. */
    UNPROVEN,
    /** A response that does not continue the stream of events that the caller has received a part of. */
    UNFITTING,
    /** A response that does not name the request, or a success that is not authenticated. */
    FOREIGN
}
