package org.sassafrastrail.http;

/** Calls servers. */
@FunctionalInterface
public interface HttpClient {

    /**
     * Calls a server and waits for the head of the answer, on the calling thread.
     *
     * @param request the request
     * @return what came of it
     */
    HttpResult send(HttpRequest request);
}
