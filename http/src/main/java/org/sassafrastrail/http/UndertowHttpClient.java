package org.sassafrastrail.http;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.runtime.ServiceStartException;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** An {@link HttpClient} on Undertow's client that keeps idle connections for reuse. */
public final class UndertowHttpClient implements HttpClient, Service {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final int BUFFER_BYTES = 16 * 1024;

    private final int threads;
    private final IdleConnections idle = new IdleConnections(System::nanoTime);
    private final DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private volatile XnioWorker worker;

    /**
     * Creates a client that is not started yet.
     *
     * @param threads the number of I/O threads
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
            throw new ServiceStartException("HTTP client", failure);
        }
    }

    @Override
    public void stop() {
        idle.discardAll();
        if (worker != null) {
            worker.shutdownNow();
        }
    }

    @Override
    public HttpResult send(HttpRequest request) {
        Optional<CheckedConnection> idleConnection =
                request.reuseConnection() ? idle.take(hostAndPort(request)) : Optional.empty();
        Optional<CheckedConnection> connection = idleConnection.or(() -> connect(request));
        return connection.map(present -> exchange(request, present)).orElseGet(HttpResult.NotSent::new);
    }

    private Optional<CheckedConnection> connect(HttpRequest request) {
        URI address = URI.create("http://" + hostAndPort(request));
        ChunkChecker checker = new ChunkChecker();
        XnioIoThread thread =
                new SourceWrappingThread(worker.getIoThread(), source -> new CheckedSource(source, checker));
        IoFuture<ClientConnection> future =
                UndertowClient.getInstance().connect(address, thread, buffers, OptionMap.EMPTY);
        if (future.await(CONNECT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS) != IoFuture.Status.DONE) {
            future.cancel();
            return Optional.empty();
        }
        try {
            return Optional.of(new CheckedConnection(future.get(), checker));
        } catch (IOException failure) {
            return Optional.empty();
        }
    }

    private HttpResult exchange(HttpRequest request, CheckedConnection connection) {
        ExchangeCallback pending = new ExchangeCallback(request.body());
        connection.client().getIoThread().execute(() -> start(request, connection, pending));
        try {
            long timeoutMillis = request.timeout().toMillis();
            pending.written().get(timeoutMillis, TimeUnit.MILLISECONDS);
            ClientExchange responded = pending.responded().get(timeoutMillis, TimeUnit.MILLISECONDS);
            checkFraming(responded, connection);
            return new HttpResult.Responded(new UndertowHttpResponse(
                    responded, request.timeout(), () -> idle.add(hostAndPort(request), connection)));
        } catch (IOException | ExecutionException | TimeoutException failure) {
            IoUtils.safeClose(connection.client());
            idle.discard(hostAndPort(request));
            return new HttpResult.NoResponse();
        } catch (InterruptedException interrupted) {
            IoUtils.safeClose(connection.client());
            Thread.currentThread().interrupt();
            return new HttpResult.NoResponse();
        }
    }

    private static void start(HttpRequest request, CheckedConnection connection, ExchangeCallback pending) {
        ClientRequest clientRequest = clientRequest(request);
        connection.checker().requestSent(!clientRequest.getMethod().equals(Methods.HEAD));
        connection.client().sendRequest(clientRequest, pending);
    }

    private static void checkFraming(ClientExchange responded, CheckedConnection connection) throws IOException {
        HeaderMap headers = responded.getResponse().getResponseHeaders();
        if (BodyFraming.of(headers).filter(connection.checker()::agreesWith).isEmpty()) {
            throw new IOException("contradictory framing");
        }
    }

    private static ClientRequest clientRequest(HttpRequest request) {
        ClientRequest clientRequest = new ClientRequest()
                .setMethod(Methods.fromString(request.method()))
                .setPath(request.path());
        clientRequest.getRequestHeaders().put(Headers.HOST, hostAndPort(request));
        clientRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.body().length);
        request.headers()
                .forEach((name, value) -> clientRequest.getRequestHeaders().put(new HttpString(name), value));
        return clientRequest;
    }

    private static String hostAndPort(HttpRequest request) {
        return request.host() + ":" + request.port();
    }

    /**
     * Writes the body on the I/O thread once the request head was sent, and completes one future when the request was
     * written and another when the response head arrived.
     */
    private static final class ExchangeCallback implements ClientCallback<ClientExchange> {

        private final RequestBodyWriter writer;
        private final CompletableFuture<ClientExchange> responded = new CompletableFuture<>();

        ExchangeCallback(byte[] body) {
            this.writer = new RequestBodyWriter(body);
        }

        CompletableFuture<Void> written() {
            return writer.written();
        }

        CompletableFuture<ClientExchange> responded() {
            return responded;
        }

        @Override
        public void completed(ClientExchange exchange) {
            exchange.setResponseListener(new ClientCallback<>() {
                @Override
                public void completed(ClientExchange result) {
                    responded.complete(result);
                }

                @Override
                public void failed(IOException failure) {
                    responded.completeExceptionally(failure);
                }
            });
            writer.start(exchange.getRequestChannel());
        }

        @Override
        public void failed(IOException failure) {
            writer.written().completeExceptionally(failure);
        }
    }
}
