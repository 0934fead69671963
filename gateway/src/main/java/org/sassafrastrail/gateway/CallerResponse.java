package org.sassafrastrail.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import org.xnio.channels.StreamSinkChannel;

/**
 * The upstream's answer as the caller gets it, at the caller's pace. All runs on the input and output thread of the caller's
 * connection.
 */
final class CallerResponse {

    private static final ByteBuffer NO_BYTES = ByteBuffer.allocate(0);

    private final HttpServerExchange exchange;
    private final Runnable onDrained;
    private final Runnable onDisconnect;

    private StreamSinkChannel sink;
    private ByteBuffer unwritten = NO_BYTES;
    private boolean finishing;
    private boolean closed;

    /**
     * Makes an answer that has not begun.
     *
     * @param exchange the caller's request
     * @param takenUp is run when the caller has taken what it had not taken at first
     * @param left is run when the caller turns out to have left
     */
    CallerResponse(HttpServerExchange exchange, Runnable onDrained, Runnable onDisconnect) {
        this.exchange = exchange;
        this.onDrained = onDrained;
        this.onDisconnect = onDisconnect;
    }

    /** Tells whether the head was sent. */
    boolean hasStarted() {
        return sink != null;
    }

    boolean isClosed() {
        return closed;
    }

    /** Notes that the exchange is over; nothing more is written. */
    void close() {
        closed = true;
    }

    /** Writes a part, after the head if that was not sent. False if the caller has to take some of it up first. */
    boolean write(UpstreamResponseHead head, ByteBuffer part) {
        if (closed || !part.hasRemaining()) {
            return true;
        }
        start(head);
        try {
            while (part.hasRemaining()) {
                if (sink.write(part) == 0) {
                    unwritten = copy(part);
                    resumeWhenWritable();
                    return false;
                }
            }
            return true;
        } catch (IOException disconnected) {
            onDisconnect.run();
            return true;
        }
    }

    /** Writes the last part and ends the answer, later if the caller has to take some of it up first. */
    void end(UpstreamResponseHead head, byte[] last) {
        if (closed) {
            return;
        }
        start(head);
        if (write(head, ByteBuffer.wrap(last)) && !unwritten.hasRemaining()) {
            finish();
        } else {
            finishing = true;
        }
    }

    /** Sends what was written, because nothing follows for now. */
    void flush() {
        if (sink == null || closed) {
            return;
        }
        try {
            if (!sink.flush()) {
                resumeWhenWritable();
            }
        } catch (IOException disconnected) {
            onDisconnect.run();
        }
    }

    private void start(UpstreamResponseHead head) {
        if (sink == null) {
            exchange.setStatusCode(head.status());
            exchange.getResponseHeaders().clear();
            head.headers().forEach(header -> exchange.getResponseHeaders().addAll(header.getHeaderName(), header));
            sink = exchange.getResponseChannel();
        }
    }

    private static ByteBuffer copy(ByteBuffer part) {
        ByteBuffer copy = ByteBuffer.allocate(part.remaining());
        copy.put(part).flip();
        return copy;
    }

    private void resumeWhenWritable() {
        sink.getWriteSetter().set(channel -> writeRemaining());
        sink.resumeWrites();
    }

    private void writeRemaining() {
        try {
            while (unwritten.hasRemaining()) {
                if (sink.write(unwritten) == 0) {
                    return;
                }
            }
            if (!sink.flush()) {
                return;
            }
            sink.suspendWrites();
            if (finishing) {
                finish();
            } else {
                onDrained.run();
            }
        } catch (IOException disconnected) {
            onDisconnect.run();
        }
    }

    private void finish() {
        if (!closed) {
            exchange.endExchange();
        }
    }
}
