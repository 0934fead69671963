package org.sassafrastrail.http;

/** The result of sending an HTTP request. */
public sealed interface HttpResult {

    /**
     * The head of a response arrived; the body can be read.
     *
     * @param response the response
     */
    record Responded(HttpResponse response) implements HttpResult {}

    /** No connection could be opened; nothing was sent. */
    record NotSent() implements HttpResult {}

    /** At least part of the request was sent, but no response arrived. */
    record NoResponse() implements HttpResult {}
}
