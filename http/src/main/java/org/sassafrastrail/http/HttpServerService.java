package org.sassafrastrail.http;

import java.io.IOException;
import java.net.InetSocketAddress;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.GracefulShutdownHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.StatusCodes;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.runtime.ServiceStartException;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * An HTTP server on one address. Requests whose framing has no single reading are refused, or end with their connection.
 * Stopping it waits up to two seconds for requests in flight.
 */
public final class HttpServerService implements Service {

    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 64;
    private static final int MAX_HEADERS_BYTES = 32 * 1024;
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int BACKLOG = 1000;
    private static final int IDLE_TIMEOUT_MILLISECONDS = 60_000;
    private static final long DRAIN_TIMEOUT_MILLISECONDS = 2000;

    private final String host;
    private final int port;
    private final GracefulShutdownHandler handler;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final HttpOpenListener listener = new HttpOpenListener(
            buffers,
            OptionMap.builder()
                    .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADERS_BYTES)
                    .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLISECONDS)
                    .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                    .getMap());
    private XnioWorker worker;
    private AcceptingChannel<? extends StreamConnection> channel;

    /**
     * Creates a server that is not started yet.
     *
     * @param host the address to listen on
     * @param port the port to listen on
     * @param handler handles the requests
     */
    public HttpServerService(String host, int port, HttpHandler handler) {
        this.host = host;
        this.port = port;
        this.handler = new GracefulShutdownHandler(handler);
        listener.setRootHandler(this::handle);
    }

    @Override
    public void start() {
        try {
            worker = Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, IO_THREADS)
                            .set(Options.WORKER_TASK_CORE_THREADS, WORKER_THREADS)
                            .set(Options.WORKER_TASK_MAX_THREADS, WORKER_THREADS)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
            channel = worker.createStreamConnectionServer(
                    new InetSocketAddress(host, port),
                    ChannelListeners.openListenerAdapter(this::accept),
                    OptionMap.builder()
                            .set(Options.TCP_NODELAY, true)
                            .set(Options.REUSE_ADDRESSES, true)
                            .set(Options.BACKLOG, BACKLOG)
                            .getMap());
            channel.resumeAccepts();
        } catch (IOException | RuntimeException failure) {
            throw new ServiceStartException("HTTP port " + host + ":" + port, failure);
        }
    }

    private void accept(StreamConnection connection) {
        RequestFraming.check(connection);
        listener.handleEvent(connection);
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        if (RequestFraming.of(exchange).orElseThrow().requestStarted()) {
            handler.handleRequest(exchange);
        } else {
            exchange.setPersistent(false);
            exchange.setStatusCode(StatusCodes.BAD_REQUEST);
            exchange.endExchange();
        }
    }

    /**
     * Returns the port that the server listens on, also if the operating system chose it.
     *
     * @return the port
     */
    public int port() {
        return channel.getLocalAddress(InetSocketAddress.class).getPort();
    }

    @Override
    public void stop() {
        handler.shutdown();
        try {
            handler.awaitShutdown(DRAIN_TIMEOUT_MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        IoUtils.safeClose(channel);
        listener.closeConnections();
        if (worker != null) {
            worker.shutdownNow();
        }
    }
}
