package org.sassafrastrail.gateway;

import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import org.sassafrastrail.gate.Upstream;
import org.sassafrastrail.http.SourceWrappingThread;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** A pool of connections to upstreams. Confined to one I/O thread. */
final class UpstreamConnectionPool {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final UpstreamSourceWrapper sources = new UpstreamSourceWrapper();
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final IdleUpstreamConnections idle = new IdleUpstreamConnections(System::nanoTime);

    UpstreamConnectionPool(XnioIoThread thread, ByteBufferPool buffers) {
        this.thread = new SourceWrappingThread(thread, sources);
        this.buffers = buffers;
    }

    /** Passes the lease of an idle or a new connection to the callback, or a failure if none could be opened in time. */
    void open(Upstream upstream, ClientCallback<ConnectionLease> callback) {
        Optional<UpstreamConnection> idleConnection = idle.take(address(upstream));
        if (idleConnection.isPresent()) {
            callback.completed(lease(upstream, idleConnection.get()));
            return;
        }
        ConnectCallback connecting = new ConnectCallback(upstream, callback);
        XnioExecutor.Key timer =
                thread.executeAfter(connecting::timedOut, CONNECT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        connecting.timer = timer;
        try {
            URI uri = new URI("http", null, upstream.host(), upstream.port(), null, null, null);
            UndertowClient.getInstance().connect(connecting, uri, thread, buffers, OPTIONS);
        } catch (URISyntaxException | IllegalArgumentException invalid) {
            connecting.failed(new IOException("invalid address " + address(upstream), invalid));
        }
    }

    private ConnectionLease lease(Upstream upstream, UpstreamConnection connection) {
        return new ConnectionLease(connection, (released, keepAlive) -> release(upstream, released, keepAlive));
    }

    private void release(Upstream upstream, UpstreamConnection connection, Duration keepAlive) {
        if (connection.client().isOpen()) {
            idle.add(address(upstream), connection, keepAlive);
        }
    }

    private static String address(Upstream upstream) {
        return upstream.host() + ":" + upstream.port();
    }

    /** Completes once: with the connection, or with a failure if it was not opened in time. */
    private final class ConnectCallback implements ClientCallback<ClientConnection> {

        private final Upstream upstream;
        private final ClientCallback<ConnectionLease> callback;
        private XnioExecutor.Key timer;
        private boolean done;

        ConnectCallback(Upstream upstream, ClientCallback<ConnectionLease> callback) {
            this.upstream = upstream;
            this.callback = callback;
        }

        @Override
        public void completed(ClientConnection connection) {
            if (done) {
                TransportCloser.close(connection);
                return;
            }
            done = true;
            timer.remove();
            callback.completed(
                    lease(upstream, new UpstreamConnection(connection, sources.lastLimit(), sources.lastChecker())));
        }

        @Override
        public void failed(IOException failure) {
            if (!done) {
                done = true;
                timer.remove();
                callback.failed(failure);
            }
        }

        void timedOut() {
            if (!done) {
                done = true;
                callback.failed(new IOException("timed out connecting"));
            }
        }
    }
}
