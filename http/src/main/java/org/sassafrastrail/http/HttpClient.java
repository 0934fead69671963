package org.sassafrastrail.http;

/** A blocking HTTP client. */
@FunctionalInterface
public interface HttpClient {

    /**
     * Sends a request and blocks the calling thread until the head of the response has arrived.
     *
     * @param request the request
     * @return the response, or why there is none
     */
    HttpResult send(HttpRequest request);
}
