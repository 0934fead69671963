package org.sassafrastrail.http;

/** What came of a call. */
public sealed interface HttpResult {

    /**
     * The head of an answer came; its body can be read.
     *
     * @param response the response
     */
    record Responded(HttpResponse response) implements HttpResult {}

    /** The connection could not be made; nothing was sent. */
    record NotSent() implements HttpResult {}

    /** The request was sent, at least in part, and no answer came. */
    record NoResponse() implements HttpResult {}
}
