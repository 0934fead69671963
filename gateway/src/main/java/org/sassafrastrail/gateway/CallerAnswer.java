package org.sassafrastrail.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import org.xnio.channels.StreamSinkChannel;

/**
 * The upstream's answer as the caller gets it, at the caller's pace. All runs on the input and output thread of the caller's
 * connection.
 */
final class CallerAnswer {

    private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

    private final HttpServerExchange exchange;
    private final Runnable takenUp;
    private final Runnable left;

    private StreamSinkChannel sink;
    private ByteBuffer unwritten = NOTHING;
    private boolean finishing;
    private boolean closed;

    /**
     * Makes an answer that has not begun.
     *
     * @param exchange the caller's request
     * @param takenUp is run when the caller has taken what it had not taken at first
     * @param left is run when the caller turns out to have left
     */
    CallerAnswer(HttpServerExchange exchange, Runnable takenUp, Runnable left) {
        this.exchange = exchange;
        this.takenUp = takenUp;
        this.left = left;
    }

    /** Tells whether the head was sent. */
    boolean hasBegun() {
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
    boolean write(UpstreamHead head, ByteBuffer part) {
        if (closed || !part.hasRemaining()) {
            return true;
        }
        begin(head);
        try {
            while (part.hasRemaining()) {
                if (sink.write(part) == 0) {
                    unwritten = copy(part);
                    goOnWhenReady();
                    return false;
                }
            }
            return true;
        } catch (IOException gone) {
            left.run();
            return true;
        }
    }

    /** Writes the last part and ends the answer, later if the caller has to take some of it up first. */
    void end(UpstreamHead head, byte[] last) {
        if (closed) {
            return;
        }
        begin(head);
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
                goOnWhenReady();
            }
        } catch (IOException gone) {
            left.run();
        }
    }

    private void begin(UpstreamHead head) {
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

    private void goOnWhenReady() {
        sink.getWriteSetter().set(channel -> goOn());
        sink.resumeWrites();
    }

    private void goOn() {
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
                takenUp.run();
            }
        } catch (IOException gone) {
            left.run();
        }
    }

    private void finish() {
        if (!closed) {
            exchange.endExchange();
        }
    }
}
