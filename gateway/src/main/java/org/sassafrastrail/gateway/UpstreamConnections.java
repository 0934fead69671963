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

/** Connections to upstreams, kept for later requests. Used by one input and output thread only. */
final class UpstreamConnections {

    /** Upstreams close idle connections after the time that they name; a request must not cross that. */
    private static final double USABLE_SHARE_OF_KEEP_ALIVE = 0.7;

    private static final Duration CONNECT_PATIENCE = Duration.ofSeconds(1);
    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final Map<String, Deque<Idle>> idle = new HashMap<>();

    UpstreamConnections(XnioIoThread thread, ByteBufferPool buffers) {
        this.thread = thread;
        this.buffers = buffers;
    }

    /** A connection without a request, and until when it may get one, by the steady clock. */
    private record Idle(ClientConnection connection, long usableUntilNanos) {

        boolean isUsable() {
            return connection.isOpen() && System.nanoTime() - usableUntilNanos < 0;
        }
    }

    /** Gives an open connection to the upstream, now or later, or says that there is none. */
    void open(Upstream upstream, ClientCallback<ClientConnection> opened) {
        Optional<ClientConnection> kept = takeIdle(place(upstream));
        if (kept.isPresent()) {
            opened.completed(kept.get());
            return;
        }
        OneAnswer answer = new OneAnswer(opened);
        XnioExecutor.Key timer =
                thread.executeAfter(answer::tooLate, CONNECT_PATIENCE.toMillis(), TimeUnit.MILLISECONDS);
        answer.timer = timer;
        UndertowClient.getInstance().connect(answer, URI.create("http://" + place(upstream)), thread, buffers, OPTIONS);
    }

    /** Keeps a connection whose answer has been read to its end. */
    void keep(Upstream upstream, ClientConnection connection, Duration keepAlive) {
        if (connection.isOpen()) {
            long usable = Math.round(keepAlive.toNanos() * USABLE_SHARE_OF_KEEP_ALIVE);
            idle.computeIfAbsent(place(upstream), place -> new ArrayDeque<>())
                    .push(new Idle(connection, System.nanoTime() + usable));
        }
    }

    private Optional<ClientConnection> takeIdle(String place) {
        Deque<Idle> connections = idle.getOrDefault(place, new ArrayDeque<>());
        while (!connections.isEmpty()) {
            Idle next = connections.pop();
            if (next.isUsable()) {
                return Optional.of(next.connection());
            }
            TransportClose.close(next.connection());
        }
        return Optional.empty();
    }

    private static String place(Upstream upstream) {
        return upstream.host() + ":" + upstream.port();
    }

    /** Answers once: with the connection, or that it did not open in time. */
    private static final class OneAnswer implements ClientCallback<ClientConnection> {

        private final ClientCallback<ClientConnection> opened;
        private XnioExecutor.Key timer;
        private boolean answered;

        OneAnswer(ClientCallback<ClientConnection> opened) {
            this.opened = opened;
        }

        @Override
        public void completed(ClientConnection connection) {
            if (answered) {
                TransportClose.close(connection);
                return;
            }
            answered = true;
            timer.remove();
            opened.completed(connection);
        }

        @Override
        public void failed(IOException failure) {
            if (!answered) {
                answered = true;
                timer.remove();
                opened.failed(failure);
            }
        }

        void tooLate() {
            if (!answered) {
                answered = true;
                opened.failed(new IOException("no connection in time"));
            }
        }
    }
}
