package org.sassafrastrail.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import org.sassafrastrail.http.RequestFraming;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of a caller's request without blocking. Memory is reserved before it is used: for the whole body where the
 * head states its length, else as the body arrives. Confined to the I/O thread of the caller's connection.
 */
final class RequestBodyReader {

    private static final int INITIAL_CAPACITY_BYTES = 4 * 1024;

    /** Receives the end of the reading, once. */
    interface Listener {

        /** The body was read completely. */
        void bodyRead(byte[] body);

        /** The body is larger than a body may be. */
        void bodyTooLarge();

        /** The end of the body can't be found. */
        void bodyMalformed();

        /** No memory is left for the body, of which a part may have been read. */
        void memoryFull();

        /** The connection failed before the end of the body. */
        void connectionLost();
    }

    private final HttpServerExchange exchange;
    private final RequestMemory memory;
    private final Listener listener;
    private final StreamSourceChannel channel;
    private final RequestFraming framing;
    private byte[] body = new byte[0];
    private int length;

    RequestBodyReader(HttpServerExchange exchange, RequestMemory memory, Listener listener) {
        this.exchange = exchange;
        this.memory = memory;
        this.listener = listener;
        this.channel = exchange.getRequestChannel();
        this.framing = RequestFraming.of(exchange).orElseThrow();
    }

    /** Starts to read. The maximum size of the body is that of the exchange. */
    void start() {
        long stated = Math.max(0, exchange.getRequestContentLength());
        if (stated > exchange.getMaxEntitySize()) {
            listener.bodyTooLarge();
        } else if (!allocate((int) stated)) {
            listener.memoryFull();
        } else {
            channel.getReadSetter().set(source -> read());
            framing.setPausingAtFault(true);
            read();
        }
    }

    private boolean allocate(int capacity) {
        boolean reserved = memory.hold(capacity);
        if (reserved) {
            body = Arrays.copyOf(body, capacity);
        }
        return reserved;
    }

    private void read() {
        try (PooledByteBuffer pooled =
                exchange.getConnection().getByteBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            int count = fill(buffer);
            while (count > 0) {
                if (!append(buffer.flip())) {
                    stop();
                    listener.memoryFull();
                    return;
                }
                count = fill(buffer);
            }
            if (count < 0) {
                stop();
                listener.bodyRead(length == body.length ? body : Arrays.copyOf(body, length));
            } else if (framing.fault().isPresent()) {
                stop();
                listener.bodyMalformed();
            } else {
                channel.resumeReads();
            }
        } catch (RequestTooBigException tooBig) {
            stop();
            listener.bodyTooLarge();
        } catch (IOException lost) {
            stop();
            listener.connectionLost();
        }
    }

    private int fill(ByteBuffer buffer) throws IOException {
        buffer.clear();
        return channel.read(buffer);
    }

    private boolean append(ByteBuffer part) {
        int next = length + part.remaining();
        if (next > body.length && !allocate(Math.max(next, grown()))) {
            return false;
        }
        part.get(body, length, part.remaining());
        length = next;
        return true;
    }

    private int grown() {
        return (int) Math.min(exchange.getMaxEntitySize(), Math.max(INITIAL_CAPACITY_BYTES, 2L * body.length));
    }

    private void stop() {
        framing.setPausingAtFault(false);
        channel.getReadSetter().set(null);
        channel.suspendReads();
    }
}
