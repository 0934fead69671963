package org.sassafrastrail.gateway;

import java.io.IOException;

import io.undertow.client.ClientConnection;
import org.xnio.IoUtils;

/** Closes connections to upstreams at once. Undertow's client keeps the socket open while it waits for an answer. */
final class TransportCloser {

    private TransportCloser() {}

    static void close(ClientConnection connection) {
        try {
            if (connection.isOpen()) {
                IoUtils.safeClose(connection.performUpgrade());
            }
        } catch (IOException | RuntimeException notTaken) {
            // Undertow gives no transport once the connection is closed or taken; closing it below is all that is left.
            IoUtils.safeClose(connection);
        }
        IoUtils.safeClose(connection);
    }
}
