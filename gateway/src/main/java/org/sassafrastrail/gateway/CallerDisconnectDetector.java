package org.sassafrastrail.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller closes its connection while its request is under way and nothing is being written to it. Undertow
 * does not read then, so the watch takes the connection's read side, and gives it back before the next request.
 */
final class CallerDisconnectDetector implements ReadReadyHandler {

    private final HttpServerConnection connection;
    private final StreamSourceConduit source;
    private final Runnable onDisconnect;
    private boolean finished;

    private CallerDisconnectDetector(HttpServerConnection connection, Runnable onDisconnect) {
        this.connection = connection;
        this.source = connection.getOriginalSourceConduit();
        this.onDisconnect = onDisconnect;
    }

    /**
     * Watches the connection of a request that has been read whole, until its exchange is over.
     *
     * @param exchange the request
     * @param left is run when the connection is closed
     * @return a check to be made on the connection's thread before work is done for the caller: it notices a close that
     *     has arrived already but that the selector has not come to
     */
    static Runnable watch(HttpServerExchange exchange, Runnable onDisconnect) {
        if (exchange.getConnection() instanceof HttpServerConnection http && http.getExtraBytes() == null) {
            CallerDisconnectDetector watch = new CallerDisconnectDetector(http, onDisconnect);
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

    private void check() {
        if (!finished) {
            readReady();
        }
    }

    private void disconnected() {
        finished = true;
        source.suspendReads();
        onDisconnect.run();
        // The selector lets closed connections go with its next turn, and an idle thread takes none by itself.
        connection.getWorker().execute(() -> connection.getIoThread().execute(() -> {}));
    }

    private void release() {
        finished = true;
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
                // The caller sends its next request early: it is kept for then, and the watch ends.
                finished = true;
                source.suspendReads();
                buffer.flip();
                connection.ungetRequestBytes(pooled);
                kept = true;
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
        // The read side was closed by this process.
    }
}
