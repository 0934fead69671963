package org.sassafrastrail.http;

/** What came of a call. */
public sealed interface HttpResult {

    /**
     * The head of an answer came; its body can be read.
     *
     * @param answer the answer
     */
    record Answered(HttpAnswer answer) implements HttpResult {}

    /** The connection could not be made; nothing was sent. */
    record NotSent() implements HttpResult {}

    /** The request was sent, at least in part, and no answer came. */
    record Lost() implements HttpResult {}
}
