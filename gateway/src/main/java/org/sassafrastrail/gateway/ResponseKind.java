package org.sassafrastrail.gateway;

/** What an upstream's answer means. */
enum ResponseKind {
    /** It is the upstream's own answer to the request, whatever its status says to the caller. */
    ANSWERED,
    /** It is the upstream's own answer and says that the upstream failed. */
    FAILED,
    /** The upstream says that it did not run the request. */
    DECLINED,
    /** Another upstream has the address. */
    WRONG_UPSTREAM,
    /** It is a refusal, but nothing proves that it is this request's: the request may have run. */
    UNPROVEN,
    /** It does not go on with the stream of events that the caller has the beginning of. */
    UNFITTING,
    /** It belongs to another request or is no upstream's answer. */
    FOREIGN
}
