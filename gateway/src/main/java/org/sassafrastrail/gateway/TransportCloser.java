package org.sassafrastrail.gateway;

import java.io.IOException;

import io.undertow.client.ClientConnection;
import org.xnio.IoUtils;

/** Closes connections to upstreams at once. Undertow's own close keeps the socket open while it waits for a response. */
final class TransportCloser {

    private TransportCloser() {}

    static void close(ClientConnection connection) {
        try {
            if (connection.isOpen()) {
                IoUtils.safeClose(connection.performUpgrade());
            }
        } catch (IOException | RuntimeException unavailable) {
            // Undertow releases no transport of a closed or upgraded connection; it can only be closed the usual way,
            // below.
            IoUtils.safeClose(connection);
        }
        IoUtils.safeClose(connection);
    }
}
