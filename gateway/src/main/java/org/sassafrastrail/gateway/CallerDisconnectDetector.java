package org.sassafrastrail.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.sassafrastrail.http.RequestFraming;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller closes its connection while its request is in flight and nothing is being written to it. Undertow
 * does not read from the connection during that time, so the detector takes over the read side and restores it
 * before the next request.
 */
final class CallerDisconnectDetector implements ReadReadyHandler {

    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private final StreamSourceConduit source;
    private final Optional<RequestFraming> framing;
    private final Runnable onDisconnect;
    private boolean finished;

    private CallerDisconnectDetector(
            HttpServerExchange exchange, HttpServerConnection connection, Runnable onDisconnect) {
        this.exchange = exchange;
        this.connection = connection;
        this.source = connection.getOriginalSourceConduit();
        this.framing = RequestFraming.of(exchange);
        this.onDisconnect = onDisconnect;
    }

    /**
     * Watches the connection of a request that has been read completely, until its exchange ends.
     *
     * @param exchange the exchange of the request
     * @param onDisconnect called when the connection is closed
     * @return a check to run on the connection's thread before work is done for the caller: it detects a close that has
     *     arrived but that the selector has not processed yet
     */
    static Runnable watch(HttpServerExchange exchange, Runnable onDisconnect) {
        if (exchange.getConnection() instanceof HttpServerConnection http && http.getExtraBytes() == null) {
            CallerDisconnectDetector watch = new CallerDisconnectDetector(exchange, http, onDisconnect);
            watch.setPausingAtFault(true);
            watch.source.setReadReadyHandler(watch);
            watch.source.resumeReads();
            exchange.addExchangeCompleteListener((done, next) -> {
                watch.release();
                next.proceed();
            });
            return watch::check;
        }
        return () -> {};
    }

    private void setPausingAtFault(boolean pausing) {
        framing.ifPresent(checked -> checked.setPausingAtFault(pausing));
    }

    private void check() {
        if (!finished) {
            readReady();
        }
    }

    private void disconnected() {
        finished = true;
        source.suspendReads();
        onDisconnect.run();
        // The selector releases closed connections in its next iteration, which an idle thread would not start by
        // itself.
        connection.getWorker().execute(() -> connection.getIoThread().execute(() -> {}));
    }

    private void release() {
        finished = true;
        setPausingAtFault(false);
        source.suspendReads();
        source.setReadReadyHandler(
                new ChannelListenerHandler<>(connection.getChannel().getSourceChannel()));
    }

    @Override
    public void readReady() {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean kept = false;
        try {
            ByteBuffer buffer = pooled.getBuffer();
            int count = source.read(buffer);
            if (count < 0) {
                disconnected();
            } else if (count > 0) {
                // The caller pipelines its next request: the bytes are pushed back for it, and the detection ends.
                finished = true;
                source.suspendReads();
                buffer.flip();
                connection.ungetRequestBytes(pooled);
                kept = true;
            } else if (framing.flatMap(RequestFraming::fault).isPresent()) {
                // The next request is malformed: this one is answered, and nothing more can be read.
                finished = true;
                source.suspendReads();
                exchange.setPersistent(false);
            }
        } catch (IOException failure) {
            disconnected();
        } finally {
            if (!kept) {
                pooled.close();
            }
        }
    }

    @Override
    public void forceTermination() {
        disconnected();
    }

    @Override
    public void terminated() {
        // This process closed the read side; the caller did not disconnect.
    }
}
