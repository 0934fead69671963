package org.sassafrastrail.http;

import java.time.Duration;
import java.util.Map;

/**
 * A request to a server.
 *
 * @param host the server's address
 * @param port the server's port
 * @param method the method
 * @param path the path with its query
 * @param headers the headers, each with one value
 * @param body the whole body
 * @param patience how long the head of the answer may take, and each wait for more of its body
 * @param reuse whether a kept connection may be used; a fresh one tells a refused connection from a lost answer
 */
public record HttpCall(
        String host,
        int port,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        Duration patience,
        boolean reuse) {

    private static final byte[] NO_BODY = {};

    /**
     * Makes a call without a body.
     *
     * @param host the server's address
     * @param port the server's port
     * @param path the path with its query
     * @param patience how long the answer may take
     * @return the call
     */
    public static HttpCall get(String host, int port, String path, Duration patience) {
        return new HttpCall(host, port, "GET", path, Map.of(), NO_BODY, patience, true);
    }
}
