package org.sassafrastrail.gateway;

/** What an upstream's answer means. */
public enum AnswerKind {
    /** It is the upstream's own answer to the request, whatever its status says to the caller. */
    ANSWERED,
    /** It is the upstream's own answer and says that the upstream failed. */
    FAILED,
    /** The upstream says that it did not run the request. */
    DECLINED,
    /** Another upstream has the address. */
    WRONG_UPSTREAM,
    /** It belongs to another request or is no upstream's answer. */
    FOREIGN
}
