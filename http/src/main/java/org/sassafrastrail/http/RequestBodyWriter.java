package org.sassafrastrail.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;

import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the body of a request. Confined to the I/O thread of the connection, because Undertow's client flushes the same
 * channel there and detaches it when the request has been written.
 */
final class RequestBodyWriter implements ChannelListener<StreamSinkChannel> {

    private final ByteBuffer unwritten;
    private final CompletableFuture<Void> written = new CompletableFuture<>();

    RequestBodyWriter(byte[] body) {
        this.unwritten = ByteBuffer.wrap(body);
    }

    /** Returns a future that completes when the whole request was written, exceptionally if it can't be. */
    CompletableFuture<Void> written() {
        return written;
    }

    /** Starts writing. Undertow itself ends a request without a body. */
    void start(StreamSinkChannel channel) {
        if (unwritten.hasRemaining()) {
            channel.getWriteSetter().set(this);
            handleEvent(channel);
        } else {
            written.complete(null);
        }
    }

    @Override
    public void handleEvent(StreamSinkChannel channel) {
        try {
            if (writeAll(channel)) {
                channel.suspendWrites();
                written.complete(null);
            } else {
                channel.resumeWrites();
            }
        } catch (IOException failure) {
            written.completeExceptionally(failure);
        }
    }

    /** Returns whether the body and its end were written, because the server took them all. */
    private boolean writeAll(StreamSinkChannel channel) throws IOException {
        int count = 1;
        while (unwritten.hasRemaining() && count > 0) {
            count = channel.write(unwritten);
        }
        if (unwritten.hasRemaining()) {
            return false;
        }
        channel.shutdownWrites();
        return channel.flush();
    }
}
