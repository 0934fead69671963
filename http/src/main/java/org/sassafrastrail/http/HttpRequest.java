package org.sassafrastrail.http;

import java.time.Duration;
import java.util.Map;

/**
 * An HTTP request to a server.
 *
 * @param host the host name or address of the server
 * @param port the port of the server
 * @param method the HTTP method
 * @param path the path, including the query
 * @param headers the headers, one value each
 * @param body the body, empty for none
 * @param timeout the maximum wait for the head of the response and for each further part of the body
 * @param reuseConnection whether an idle connection may be reused; with a new connection, a refused connection can be
 *     told from a lost response
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
     * Creates a GET request without a body that may reuse a connection.
     *
     * @param host the host name or address of the server
     * @param port the port of the server
     * @param path the path, including the query
     * @param timeout the maximum wait for the response
     * @return the request
     */
    public static HttpRequest get(String host, int port, String path, Duration timeout) {
        return new HttpRequest(host, port, "GET", path, Map.of(), NO_BODY, timeout, true);
    }
}
