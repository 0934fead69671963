package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The right of one attempt to use a connection to an upstream. It ends once, when the connection is released or closed. What
 * the attempt does afterwards has no effect, because the connection may carry the request of another caller by then. Confined
 * to one I/O thread.
 */
final class ConnectionLease {

    /** Takes connections back that have no request in flight. */
    interface Pool {

        /** Keeps a connection for reuse within the time for which its upstream keeps it open. */
        void add(UpstreamConnection connection, Duration keepAlive);
    }

    private final UpstreamConnection connection;
    private final Pool pool;
    private boolean held = true;

    ConnectionLease(UpstreamConnection connection, Pool pool) {
        this.connection = connection;
        this.pool = pool;
    }

    /** Returns the connection, which is not to be used after the end of the lease. */
    UpstreamConnection connection() {
        if (!held) {
            throw new IllegalStateException("the lease of the connection has ended");
        }
        return connection;
    }

    /** Ends the lease: the connection can be used by another attempt. */
    void release(Duration keepAlive) {
        if (held) {
            held = false;
            pool.add(connection, keepAlive);
        }
    }

    /** Ends the lease: the connection is closed. */
    void close() {
        if (held) {
            held = false;
            TransportCloser.close(connection.client());
        }
    }

    /** Closes the connection after a time, unless the lease has ended by then. */
    void closeAfter(Duration time) {
        if (held) {
            connection.client().getIoThread().executeAfter(this::close, time.toMillis(), TimeUnit.MILLISECONDS);
        }
    }
}
