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
 * @param timeout how long the head of the answer may take, and each wait for more of its body
 * @param reuseConnection whether a kept connection may be used; a fresh one tells a refused connection from a lost answer
 */
public record HttpRequest(
        String host,
        int port,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        Duration timeout,
        boolean reuseConnection) {

    private static final byte[] NO_BODY = {};

    /**
     * Makes a call without a body.
     *
     * @param host the server's address
     * @param port the server's port
     * @param path the path with its query
     * @param timeout how long the answer may take
     * @return the call
     */
    public static HttpRequest get(String host, int port, String path, Duration timeout) {
        return new HttpRequest(host, port, "GET", path, Map.of(), NO_BODY, timeout, true);
    }
}
