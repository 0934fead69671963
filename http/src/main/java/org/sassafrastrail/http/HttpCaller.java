package org.sassafrastrail.http;

/** Calls servers. */
@FunctionalInterface
public interface HttpCaller {

    /**
     * Calls a server and waits for the head of the answer, on the calling thread.
     *
     * @param call the call
     * @return what came of it
     */
    HttpResult call(HttpCall call);
}
