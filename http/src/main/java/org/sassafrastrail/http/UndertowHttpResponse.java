package org.sassafrastrail.http;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientExchange;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSourceChannel;

/** An answer that comes over a connection of Undertow's client. */
final class UndertowHttpResponse implements HttpResponse {

    private final ClientExchange exchange;
    private final Body body;
    private final Runnable keep;

    UndertowHttpResponse(ClientExchange exchange, Duration patience, Runnable keep) {
        this.exchange = exchange;
        this.body = new Body(exchange.getResponseChannel(), patience);
        this.keep = keep;
    }

    @Override
    public int status() {
        return exchange.getResponse().getResponseCode();
    }

    @Override
    public Optional<String> header(String name) {
        return Optional.ofNullable(exchange.getResponse().getResponseHeaders().getFirst(name));
    }

    @Override
    public InputStream body() {
        return body;
    }

    @Override
    public void close() {
        if (body.ended) {
            keep.run();
        } else {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    /** Reads what has come, and waits only while nothing has. */
    private static final class Body extends InputStream {

        private final StreamSourceChannel channel;
        private final Duration patience;
        private boolean ended;

        Body(StreamSourceChannel channel, Duration patience) {
            this.channel = channel;
            this.patience = patience;
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : Byte.toUnsignedInt(one[0]);
        }

        @Override
        public int read(byte[] target, int offset, int length) throws IOException {
            if (length == 0) {
                return 0;
            }
            if (ended) {
                return -1;
            }
            ByteBuffer buffer = ByteBuffer.wrap(target, offset, length);
            long until = System.nanoTime() + patience.toNanos();
            int count = channel.read(buffer);
            long left = patience.toNanos();
            while (count == 0 && left > 0) {
                // What arrives may be framing only, such as the length of a chunk whose bytes are still under way.
                channel.awaitReadable(left, TimeUnit.NANOSECONDS);
                count = channel.read(buffer);
                left = until - System.nanoTime();
            }
            return arrived(count);
        }

        private int arrived(int count) throws IOException {
            if (count == 0) {
                throw new IOException("no more of the answer came in time");
            }
            ended = count < 0;
            return count;
        }
    }
}
