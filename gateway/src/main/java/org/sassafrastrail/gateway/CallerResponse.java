package org.sassafrastrail.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.OptionalLong;

import io.undertow.server.HttpServerExchange;
import org.sassafrastrail.http.ResponseFraming;
import org.xnio.channels.StreamSinkChannel;

/**
 * The response to a caller, written as fast as the caller reads it. All runs on the I/O thread of the caller's
 * connection.
 */
final class CallerResponse {

    private final HttpServerExchange exchange;
    private final Runnable onDrained;
    private final Runnable onDisconnect;
    private final UnwrittenBytes unwritten = new UnwrittenBytes();

    private StreamSinkChannel sink;
    private boolean finishing;
    private boolean closed;

    /**
     * Creates a response that has not been started.
     *
     * @param exchange the exchange with the caller
     * @param onDrained called when data that could not be written at once has been written
     * @param onDisconnect called when writing fails because the caller disconnected
     */
    CallerResponse(HttpServerExchange exchange, Runnable onDrained, Runnable onDisconnect) {
        this.exchange = exchange;
        this.onDrained = onDrained;
        this.onDisconnect = onDisconnect;
    }

    /** Returns whether the head has been sent. */
    boolean hasStarted() {
        return sink != null;
    }

    boolean isClosed() {
        return closed;
    }

    /** Marks the exchange as ended; nothing more is written. */
    void close() {
        closed = true;
    }

    /** Ends the response early, in a way that the caller does not take for the end of a complete one. */
    void abort() {
        ResponseFraming.abort(exchange);
    }

    /** Writes a part of the body, preceded by the head if necessary. Returns false if some of it could not be written yet. */
    boolean write(UpstreamResponseHead head, ByteBuffer part) {
        if (closed || !part.hasRemaining()) {
            return true;
        }
        start(head, OptionalLong.empty());
        try {
            if (unwritten.write(part, sink)) {
                return true;
            }
            resumeWhenWritable();
            return false;
        } catch (IOException disconnected) {
            onDisconnect.run();
            return true;
        }
    }

    /** Writes the last part and ends the response, as soon as all data has been written. */
    void end(UpstreamResponseHead head, byte[] last) {
        if (closed) {
            return;
        }
        start(head, OptionalLong.of(last.length));
        if (write(head, ByteBuffer.wrap(last)) && unwritten.isEmpty()) {
            finish();
        } else {
            finishing = true;
        }
    }

    /** Flushes what was written, because nothing follows for now. */
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

    private void start(UpstreamResponseHead head, OptionalLong length) {
        if (sink == null) {
            exchange.setStatusCode(head.status());
            exchange.getResponseHeaders().clear();
            head.headers().forEach(header -> exchange.getResponseHeaders().addAll(header.getHeaderName(), header));
            ResponseFraming.frame(exchange, length);
            sink = exchange.getResponseChannel();
        }
    }

    private void resumeWhenWritable() {
        sink.getWriteSetter().set(channel -> writeRemaining());
        sink.resumeWrites();
    }

    private void writeRemaining() {
        try {
            if (!unwritten.writeRest(sink) || !sink.flush()) {
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
            ResponseFraming.complete(exchange);
        }
    }
}
