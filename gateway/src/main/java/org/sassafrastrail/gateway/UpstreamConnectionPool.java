package org.sassafrastrail.gateway;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import org.sassafrastrail.gate.Upstream;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** A pool of connections to upstreams. Confined to one I/O thread. */
final class UpstreamConnectionPool {

    /** Upstreams close idle connections after their keep-alive time; no request may be sent at that moment. */
    private static final double USABLE_SHARE_OF_KEEP_ALIVE = 0.7;

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final Map<String, Deque<IdleConnection>> idle = new HashMap<>();

    UpstreamConnectionPool(XnioIoThread thread, ByteBufferPool buffers) {
        this.thread = thread;
        this.buffers = buffers;
    }

    /** An idle connection and the time until which it can be reused, by {@link System#nanoTime}. */
    private record IdleConnection(ClientConnection connection, long usableUntilNanos) {

        boolean isUsable() {
            return connection.isOpen() && System.nanoTime() - usableUntilNanos < 0;
        }
    }

    /** Passes an idle or a new connection to the callback, or a failure if none could be opened in time. */
    void open(Upstream upstream, ClientCallback<ClientConnection> callback) {
        Optional<ClientConnection> idleConnection = takeIdle(address(upstream));
        if (idleConnection.isPresent()) {
            callback.completed(idleConnection.get());
            return;
        }
        ConnectCallback connecting = new ConnectCallback(callback);
        XnioExecutor.Key timer =
                thread.executeAfter(connecting::timedOut, CONNECT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        connecting.timer = timer;
        UndertowClient.getInstance()
                .connect(connecting, URI.create("http://" + address(upstream)), thread, buffers, OPTIONS);
    }

    /** Returns a connection without a request in flight to the pool. */
    void release(Upstream upstream, ClientConnection connection, Duration keepAlive) {
        if (connection.isOpen()) {
            long usable = Math.round(keepAlive.toNanos() * USABLE_SHARE_OF_KEEP_ALIVE);
            idle.computeIfAbsent(address(upstream), address -> new ArrayDeque<>())
                    .push(new IdleConnection(connection, System.nanoTime() + usable));
        }
    }

    private Optional<ClientConnection> takeIdle(String address) {
        Deque<IdleConnection> connections = idle.getOrDefault(address, new ArrayDeque<>());
        while (!connections.isEmpty()) {
            IdleConnection next = connections.pop();
            if (next.isUsable()) {
                return Optional.of(next.connection());
            }
            TransportCloser.close(next.connection());
        }
        return Optional.empty();
    }

    private static String address(Upstream upstream) {
        return upstream.host() + ":" + upstream.port();
    }

    /** Completes once: with the connection, or with a failure if it was not opened in time. */
    private static final class ConnectCallback implements ClientCallback<ClientConnection> {

        private final ClientCallback<ClientConnection> callback;
        private XnioExecutor.Key timer;
        private boolean done;

        ConnectCallback(ClientCallback<ClientConnection> callback) {
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
            callback.completed(connection);
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
