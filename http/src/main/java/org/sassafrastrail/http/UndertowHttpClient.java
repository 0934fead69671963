package org.sassafrastrail.http;

import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.runtime.ServiceFailure;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.Channels;
import org.xnio.channels.StreamSinkChannel;

/** Calls servers by Undertow's client and keeps idle connections for later calls. */
public final class UndertowHttpClient implements HttpClient, Service {

    private static final Duration CONNECT_PATIENCE = Duration.ofSeconds(2);
    private static final int BUFFER_BYTES = 16 * 1024;

    private final int threads;
    private final Map<String, Deque<ClientConnection>> idle = new ConcurrentHashMap<>();
    private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private volatile XnioWorker worker;

    /**
     * Makes the caller.
     *
     * @param threads how many threads serve its connections
     */
    public UndertowHttpClient(int threads) {
        this.threads = threads;
    }

    @Override
    public void start() {
        try {
            worker = Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, threads)
                            .set(Options.WORKER_TASK_CORE_THREADS, 1)
                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                            .set(Options.TCP_NODELAY, true)
                            .set(Options.THREAD_DAEMON, true)
                            .getMap());
        } catch (IOException failure) {
            throw new ServiceFailure("HTTP client", failure);
        }
    }

    @Override
    public void stop() {
        idle.values().forEach(connections -> connections.forEach(IoUtils::safeClose));
        if (worker != null) {
            worker.shutdownNow();
        }
    }

    @Override
    public HttpResult send(HttpRequest call) {
        Optional<ClientConnection> kept = call.reuseConnection() ? takeIdle(call) : Optional.empty();
        Optional<ClientConnection> connection = kept.or(() -> connect(call));
        return connection.map(present -> exchange(call, present)).orElseGet(HttpResult.NotSent::new);
    }

    private Optional<ClientConnection> takeIdle(HttpRequest call) {
        Deque<ClientConnection> connections = idle.get(place(call));
        return connections == null
                ? Optional.empty()
                : Optional.ofNullable(connections.pollFirst()).filter(ClientConnection::isOpen);
    }

    private Optional<ClientConnection> connect(HttpRequest call) {
        URI address = URI.create("http://" + place(call));
        IoFuture<ClientConnection> future =
                UndertowClient.getInstance().connect(address, worker, buffers, OptionMap.EMPTY);
        if (future.await(CONNECT_PATIENCE.toMillis(), TimeUnit.MILLISECONDS) != IoFuture.Status.DONE) {
            future.cancel();
            return Optional.empty();
        }
        try {
            return Optional.of(future.get());
        } catch (IOException refused) {
            return Optional.empty();
        }
    }

    private HttpResult exchange(HttpRequest call, ClientConnection connection) {
        PendingExchange pending = new PendingExchange();
        connection.getIoThread().execute(() -> connection.sendRequest(request(call), pending));
        try {
            long patience = call.timeout().toMillis();
            ClientExchange sent = pending.sent().get(patience, TimeUnit.MILLISECONDS);
            write(sent, call.body(), patience);
            ClientExchange answered = pending.answered().get(patience, TimeUnit.MILLISECONDS);
            return new HttpResult.Responded(
                    new UndertowHttpResponse(answered, call.timeout(), () -> keep(call, connection)));
        } catch (IOException | ExecutionException | TimeoutException lost) {
            IoUtils.safeClose(connection);
            return new HttpResult.NoResponse();
        } catch (InterruptedException stopped) {
            IoUtils.safeClose(connection);
            Thread.currentThread().interrupt();
            return new HttpResult.NoResponse();
        }
    }

    private static ClientRequest request(HttpRequest call) {
        ClientRequest request =
                new ClientRequest().setMethod(Methods.fromString(call.method())).setPath(call.path());
        request.getRequestHeaders().put(Headers.HOST, place(call));
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
        call.headers().forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
        return request;
    }

    /** A server that takes no more bytes is given up after the patience, in milliseconds, as one that does not answer. */
    private static void write(ClientExchange exchange, byte[] body, long patience)
            throws IOException, TimeoutException {
        StreamSinkChannel channel = exchange.getRequestChannel();
        ByteBuffer unwritten = ByteBuffer.wrap(body);
        Channels.writeBlocking(channel, unwritten, patience, TimeUnit.MILLISECONDS);
        if (unwritten.hasRemaining()) {
            throw new TimeoutException("request not taken");
        }
        channel.shutdownWrites();
        if (!Channels.flushBlocking(channel, patience, TimeUnit.MILLISECONDS)) {
            throw new TimeoutException("request not taken");
        }
    }

    private void keep(HttpRequest call, ClientConnection connection) {
        if (connection.isOpen()) {
            idle.computeIfAbsent(place(call), place -> new ConcurrentLinkedDeque<>())
                    .addFirst(connection);
        }
    }

    private static String place(HttpRequest call) {
        return call.host() + ":" + call.port();
    }

    /** Waits for the two steps of an exchange. */
    private static final class PendingExchange implements ClientCallback<ClientExchange> {

        private final CompletableFuture<ClientExchange> sent = new CompletableFuture<>();
        private final CompletableFuture<ClientExchange> answered = new CompletableFuture<>();

        CompletableFuture<ClientExchange> sent() {
            return sent;
        }

        CompletableFuture<ClientExchange> answered() {
            return answered;
        }

        @Override
        public void completed(ClientExchange exchange) {
            exchange.setResponseListener(new ClientCallback<>() {
                @Override
                public void completed(ClientExchange result) {
                    answered.complete(result);
                }

                @Override
                public void failed(IOException failure) {
                    answered.completeExceptionally(failure);
                }
            });
            sent.complete(exchange);
        }

        @Override
        public void failed(IOException failure) {
            sent.completeExceptionally(failure);
        }
    }
}
