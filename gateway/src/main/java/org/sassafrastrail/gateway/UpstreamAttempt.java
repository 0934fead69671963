package org.sassafrastrail.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.sassafrastrail.gate.AttemptResult;
import org.sassafrastrail.gate.Upstream;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One attempt at an upstream: a connection, the request with its body, and the answer as it comes. Lives on one input and
 * output thread.
 */
final class UpstreamAttempt {

    private static final Duration KEEP_ALIVE_UNSAID = Duration.ofSeconds(2);
    private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

    /** How much is read before other connections get their turn. */
    private static final int MOST_BUFFERS_IN_A_TURN = 16;

    private static final Set<AnswerKind> UNUSABLE =
            EnumSet.of(AnswerKind.UNPROVEN, AnswerKind.UNFITTING, AnswerKind.FOREIGN);

    private static final long LARGEST_ANSWER_BYTES = 8L * 1024 * 1024;

    private final Upstream upstream;
    private final String request;
    private final Supplier<Optional<ClientRequest>> message;
    private final ByteBuffer body;
    private final CallerProtocol protocol;
    private final UpstreamConnections connections;
    private final AttemptListener listener;

    private ClientConnection connection;
    private StreamSourceChannel source;
    private Duration keepFor = KEEP_ALIVE_UNSAID;
    private boolean ended;
    private boolean answering;
    private long answerBytes;

    UpstreamAttempt(
            Upstream upstream,
            String request,
            Supplier<Optional<ClientRequest>> message,
            byte[] body,
            CallerProtocol protocol,
            UpstreamConnections connections,
            AttemptListener listener) {
        this.upstream = upstream;
        this.request = request;
        this.message = message;
        this.body = ByteBuffer.wrap(body);
        this.protocol = protocol;
        this.connections = connections;
        this.listener = listener;
    }

    void start() {
        connections.open(upstream, callback(this::send, cause -> end(new AttemptResult.NotConnected(), cause)));
    }

    /** Ends the attempt, whatever it is at. The upstream sees its connection close. */
    void abandon() {
        ended = true;
        if (connection != null) {
            TransportClose.close(connection);
        }
    }

    private void send(ClientConnection opened) {
        if (ended) {
            TransportClose.close(opened);
            return;
        }
        Optional<ClientRequest> ready = message.get();
        if (ready.isPresent()) {
            connection = opened;
            connection.sendRequest(ready.get(), callback(this::sent, this::lost));
        } else {
            connections.keep(upstream, opened, KEEP_ALIVE_UNSAID);
            end(new AttemptResult.NotConnected(), "the caller has left or no time was left");
        }
    }

    private void sent(ClientExchange exchange) {
        exchange.setResponseListener(callback(this::answered, this::lost));
        if (body.hasRemaining()) {
            write(exchange.getRequestChannel());
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
            if (!sink.flush()) {
                sink.getWriteSetter()
                        .set(ChannelListeners.flushingChannelListener(
                                ChannelListeners.nullChannelListener(),
                                (channel, failure) -> lost("request not written: " + failure.getMessage())));
                sink.resumeWrites();
            }
        } catch (IOException broken) {
            lost("request not written: " + broken.getMessage());
        }
    }

    private void answered(ClientExchange exchange) {
        ClientResponse response = exchange.getResponse();
        HeaderMap headers = response.getResponseHeaders();
        AnswerKind kind = AnswerJudge.judge(
                request, protocol.readResponseFacts(response.getResponseCode(), headers), listener.hasBegun());
        if (UNUSABLE.contains(kind)) {
            lost(kind + ", status " + response.getResponseCode());
            return;
        }
        keepFor = keepFor(headers);
        source = exchange.getResponseChannel();
        if (kind == AnswerKind.DECLINED || kind == AnswerKind.WRONG_UPSTREAM) {
            end(
                    kind == AnswerKind.DECLINED ? new AttemptResult.Declined() : new AttemptResult.WrongUpstream(),
                    "status " + response.getResponseCode());
            TransportClose.close(connection);
            return;
        }
        answering = true;
        listener.answers(new UpstreamHead(
                response.getResponseCode(), protocol.callerResponseHeaders(headers), kind, length(headers)));
        source.getReadSetter().set(channel -> read());
        read();
    }

    /** Reads on after the listener had not taken a part whole. */
    void resume() {
        if (!ended && source != null) {
            read();
        }
    }

    private void read() {
        if (ended) {
            return;
        }
        try (PooledByteBuffer pooled = connection.getBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            for (int turn = 0; turn < MOST_BUFFERS_IN_A_TURN; turn++) {
                int count = fill(buffer);
                if (count < 0) {
                    whole();
                    return;
                }
                if (count == 0) {
                    listener.pauses();
                    source.resumeReads();
                    return;
                }
                buffer.flip();
                if (!takes(buffer)) {
                    source.suspendReads();
                    return;
                }
            }
            source.wakeupReads();
        } catch (IOException broken) {
            lost("answer not read: " + broken.getMessage());
        }
    }

    /** False if nothing more can be taken for now, or at all. */
    private boolean takes(ByteBuffer part) {
        answerBytes += part.remaining();
        if (answerBytes > LARGEST_ANSWER_BYTES) {
            lost("answer over " + LARGEST_ANSWER_BYTES + " bytes");
            return false;
        }
        return listener.takes(part) && !ended;
    }

    private int fill(ByteBuffer buffer) throws IOException {
        buffer.clear();
        return source.read(buffer);
    }

    private void whole() {
        end(new AttemptResult.Delivered(), "");
        if (keepFor.isZero()) {
            TransportClose.close(connection);
        } else {
            connections.keep(upstream, connection, keepFor);
        }
    }

    /** Ends the attempt without a usable answer. The result is told first: closing the connection makes Undertow report a failure of its own. */
    void lost(String cause) {
        end(answering ? new AttemptResult.Broken() : new AttemptResult.Lost(), cause);
        if (connection != null) {
            TransportClose.close(connection);
        }
    }

    private void end(AttemptResult result, String cause) {
        if (!ended) {
            ended = true;
            listener.ends(result, cause);
        }
    }

    /** How long the connection may be kept, zero for not at all. */
    private static Duration keepFor(HeaderMap headers) {
        boolean closes = Optional.ofNullable(headers.getFirst(Headers.CONNECTION))
                .filter(value -> value.toLowerCase(Locale.ROOT).contains("close"))
                .isPresent();
        boolean framed = headers.contains(Headers.CONTENT_LENGTH) || headers.contains(Headers.TRANSFER_ENCODING);
        if (closes || !framed) {
            return Duration.ZERO;
        }
        return Optional.ofNullable(headers.getFirst(Headers.KEEP_ALIVE))
                .flatMap(UpstreamAttempt::timeout)
                .orElse(KEEP_ALIVE_UNSAID);
    }

    private static Optional<Duration> timeout(String keepAlive) {
        int at = keepAlive.indexOf(KEEP_ALIVE_TIMEOUT);
        if (at < 0) {
            return Optional.empty();
        }
        String digits = keepAlive
                .substring(at + KEEP_ALIVE_TIMEOUT.length())
                .chars()
                .takeWhile(Character::isDigit)
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
        return digits.isEmpty() ? Optional.empty() : Optional.of(Duration.ofSeconds(Long.parseLong(digits)));
    }

    private static OptionalLong length(HeaderMap headers) {
        String length = headers.getFirst(Headers.CONTENT_LENGTH);
        return length == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(length.trim()));
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
