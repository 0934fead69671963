package org.sassafrastrail.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import org.sassafrastrail.gate.AttemptResult;
import org.sassafrastrail.gate.Upstream;
import org.sassafrastrail.http.BodyFraming;
import org.sassafrastrail.http.ResponseFraming;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One attempt to get a response from an upstream: opens a connection, sends the request with its body, and reads the
 * response as a stream. Runs on one I/O thread.
 */
final class UpstreamAttempt {

    /** The number of buffers to read before other connections of the thread are served. */
    private static final int MAX_BUFFERS_PER_READ = 16;

    private static final Set<ResponseKind> UNUSABLE =
            EnumSet.of(ResponseKind.UNPROVEN, ResponseKind.UNFITTING, ResponseKind.FOREIGN);

    private static final long MAX_RESPONSE_BYTES = 8L * 1024 * 1024;

    private final Upstream upstream;
    private final String requestIdentifier;
    private final Supplier<AttemptRequest> requestSupplier;
    private final ByteBuffer body;
    private final CallerProtocol protocol;
    private final UpstreamConnectionPool connectionPool;
    private final AttemptListener listener;

    private Optional<ConnectionLease> lease = Optional.empty();
    private StreamSourceChannel source;
    private Duration keepAlive = KeepAlive.DEFAULT;
    private boolean requestWritten;
    private boolean ended;
    private boolean responseStarted;
    private long responseBytes;

    UpstreamAttempt(
            Upstream upstream,
            String requestIdentifier,
            Supplier<AttemptRequest> requestSupplier,
            byte[] body,
            CallerProtocol protocol,
            UpstreamConnectionPool connectionPool,
            AttemptListener listener) {
        this.upstream = upstream;
        this.requestIdentifier = requestIdentifier;
        this.requestSupplier = requestSupplier;
        this.body = ByteBuffer.wrap(body);
        this.protocol = protocol;
        this.connectionPool = connectionPool;
        this.listener = listener;
    }

    void start() {
        connectionPool.open(
                upstream, callback(this::sendRequest, cause -> end(new AttemptResult.NotConnected(), cause)));
    }

    /** Ends the attempt at any stage, by closing the connection to the upstream if the attempt still has it. */
    void cancel() {
        ended = true;
        closeConnection();
    }

    private void closeConnection() {
        lease.ifPresent(ConnectionLease::close);
    }

    private void sendRequest(ConnectionLease opened) {
        if (ended) {
            opened.close();
            return;
        }
        AttemptRequest request = requestSupplier.get();
        if (request instanceof AttemptRequest.Ready ready) {
            lease = Optional.of(opened);
            UpstreamConnection connection = opened.connection();
            connection.readLimit().progressMade();
            connection.chunkChecker().requestSent(!ready.head().getMethod().equals(Methods.HEAD));
            connection.client().sendRequest(ready.head(), callback(this::requestSent, this::fail));
        } else if (request instanceof AttemptRequest.NotWanted notWanted) {
            opened.release(KeepAlive.DEFAULT);
            end(new AttemptResult.NotSent(), notWanted.cause());
        }
    }

    private void requestSent(ClientExchange exchange) {
        exchange.setResponseListener(callback(this::responseReceived, this::fail));
        if (body.hasRemaining()) {
            write(exchange.getRequestChannel());
        } else {
            requestWritten = true;
        }
    }

    private void write(StreamSinkChannel sink) {
        try {
            while (body.hasRemaining()) {
                if (sink.write(body) == 0) {
                    sink.getWriteSetter().set(this::write);
                    sink.resumeWrites();
                    return;
                }
            }
            sink.suspendWrites();
            sink.shutdownWrites();
            if (sink.flush()) {
                requestWritten();
            } else {
                sink.getWriteSetter()
                        .set(ChannelListeners.flushingChannelListener(
                                channel -> requestWritten(), (channel, failure) -> requestNotWritten(failure)));
                sink.resumeWrites();
            }
        } catch (IOException failure) {
            requestNotWritten(failure);
        }
    }

    private void requestWritten() {
        requestWritten = true;
        if (ended) {
            lease.ifPresent(held -> held.release(keepAlive));
        }
    }

    private void requestNotWritten(IOException failure) {
        fail("request not written: " + failure.getMessage());
    }

    private void responseReceived(ClientExchange exchange) {
        if (ended) {
            return;
        }
        ClientResponse response = exchange.getResponse();
        HeaderMap headers = response.getResponseHeaders();
        ResponseFacts facts = protocol.readResponseFacts(response.getResponseCode(), headers);
        ResponseKind kind = ResponseClassifier.classify(requestIdentifier, facts, listener.hasResponseStarted());
        if (kind != ResponseKind.WRONG_UPSTREAM) {
            listener.noticeReceived(protocol.readNotice(response.getResponseCode(), headers));
        }
        if (kind != ResponseKind.WRONG_UPSTREAM && facts.belongsTo(requestIdentifier)) {
            listener.rateLimitReceived(protocol.readRateLimit(headers));
        }
        if (UNUSABLE.contains(kind)) {
            fail(kind + ", status " + response.getResponseCode());
            return;
        }
        Optional<BodyFraming> framing =
                BodyFraming.of(headers).filter(connection().chunkChecker()::agreesWith);
        if (framing.isEmpty()) {
            fail("contradictory framing, status " + response.getResponseCode());
            return;
        }
        keepAlive = KeepAlive.after(headers, framing.get());
        source = exchange.getResponseChannel();
        if (kind == ResponseKind.DECLINED || kind == ResponseKind.WRONG_UPSTREAM) {
            end(
                    kind == ResponseKind.DECLINED ? new AttemptResult.Declined() : new AttemptResult.WrongUpstream(),
                    "status " + response.getResponseCode());
            closeConnection();
            return;
        }
        responseStarted = true;
        listener.responseStarted(new UpstreamResponseHead(
                response.getResponseCode(),
                callerHeaders(headers, framing.get()),
                kind,
                framing.get().length(),
                framing.get().end() != ResponseFraming.BodyEnd.CONNECTION_END,
                protocol.readReportedLoad(headers)));
        source.getReadSetter().set(channel -> read());
        read();
    }

    private HeaderMap callerHeaders(HeaderMap headers, BodyFraming framing) {
        HeaderMap forwarded = protocol.callerResponseHeaders(headers);
        framing.applyTo(forwarded);
        return forwarded;
    }

    /** Resumes reading after the listener could not accept more. */
    void resume() {
        if (!ended && source != null) {
            read();
        }
    }

    private void read() {
        if (ended) {
            return;
        }
        try (PooledByteBuffer pooled = connection().client().getBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            for (int round = 0; round < MAX_BUFFERS_PER_READ; round++) {
                int count = fill(buffer);
                if (count < 0) {
                    completed();
                    return;
                }
                if (count == 0) {
                    listener.bodyPaused();
                    source.resumeReads();
                    return;
                }
                buffer.flip();
                if (!deliver(buffer)) {
                    source.suspendReads();
                    return;
                }
            }
            source.wakeupReads();
        } catch (IOException failure) {
            fail("response not read: " + failure.getMessage());
        }
    }

    /** Returns false if the listener can accept no more for now, or if the attempt has ended. */
    private boolean deliver(ByteBuffer part) {
        connection().readLimit().progressMade();
        responseBytes += part.remaining();
        if (responseBytes > MAX_RESPONSE_BYTES) {
            fail("response over " + MAX_RESPONSE_BYTES + " bytes");
            return false;
        }
        return listener.bodyReceived(part) && !ended;
    }

    private int fill(ByteBuffer buffer) throws IOException {
        buffer.clear();
        return source.read(buffer);
    }

    /** Releases the connection once the request is written too, as the upstream may respond before it has read all of it. */
    private void completed() {
        end(new AttemptResult.Delivered(), "");
        if (keepAlive.isZero()) {
            closeConnection();
        } else if (requestWritten) {
            lease.ifPresent(held -> held.release(keepAlive));
        } else {
            lease.ifPresent(held -> held.closeAfter(keepAlive));
        }
    }

    private UpstreamConnection connection() {
        return lease.orElseThrow().connection();
    }

    /**
     * Ends the attempt without a usable response. The result is reported before the connection is closed, because Undertow
     * reports the close as a failure of its own.
     */
    void fail(String cause) {
        end(responseStarted ? new AttemptResult.Broken() : new AttemptResult.Lost(), cause);
        closeConnection();
    }

    private void end(AttemptResult result, String cause) {
        if (!ended) {
            ended = true;
            listener.attemptEnded(result, cause);
        }
    }

    private static <T> ClientCallback<T> callback(Consumer<T> done, Consumer<String> failed) {
        return new ClientCallback<>() {
            @Override
            public void completed(T result) {
                done.accept(result);
            }

            @Override
            public void failed(IOException failure) {
                failed.accept(String.valueOf(failure.getMessage()));
            }
        };
    }
}
