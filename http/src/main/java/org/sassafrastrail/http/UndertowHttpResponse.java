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

/** A response received by Undertow's client. */
final class UndertowHttpResponse implements HttpResponse {

    private final ClientExchange exchange;
    private final Body body;
    private final Runnable onComplete;
    private boolean closed;

    UndertowHttpResponse(ClientExchange exchange, Duration timeout, Runnable onComplete) {
        this.exchange = exchange;
        this.body = new Body(exchange.getResponseChannel(), timeout);
        this.onComplete = onComplete;
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
    public ResponseFraming.BodyEnd bodyEnd() {
        return ResponseFraming.bodyEnd(exchange.getResponse().getResponseHeaders());
    }

    @Override
    public InputStream body() {
        return body;
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (body.ended) {
            onComplete.run();
        } else {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    /** The body as a blocking stream: returns what has arrived, and waits only if nothing has. */
    private static final class Body extends InputStream {

        private final StreamSourceChannel channel;
        private final Duration timeout;
        private boolean ended;

        Body(StreamSourceChannel channel, Duration timeout) {
            this.channel = channel;
            this.timeout = timeout;
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
            long deadline = System.nanoTime() + timeout.toNanos();
            int count = channel.read(buffer);
            long remaining = timeout.toNanos();
            while (count == 0 && remaining > 0) {
                // The channel may become readable with framing only, such as the length of a chunk whose bytes are in
                // transit.
                channel.awaitReadable(remaining, TimeUnit.NANOSECONDS);
                count = channel.read(buffer);
                remaining = deadline - System.nanoTime();
            }
            return checkRead(count);
        }

        private int checkRead(int count) throws IOException {
            if (count == 0) {
                throw new IOException("timed out reading the response body");
            }
            ended = count < 0;
            return count;
        }
    }
}
