package org.sassafrastrail.http;

import java.net.InetSocketAddress;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.GracefulShutdownHandler;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.runtime.ServiceStartException;

/** An HTTP server on one address. Stopping it waits up to two seconds for requests in flight. */
public final class HttpServerService implements Service {

    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 64;
    private static final int MAX_HEADERS_BYTES = 32 * 1024;
    private static final long DRAIN_TIMEOUT_MILLISECONDS = 2000;

    private final String host;
    private final int port;
    private final GracefulShutdownHandler handler;
    private final Undertow server;

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
        this.server = Undertow.builder()
                .addHttpListener(port, host)
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(WORKER_THREADS)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADERS_BYTES)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setHandler(this.handler)
                .build();
    }

    @Override
    public void start() {
        try {
            server.start();
        } catch (RuntimeException failure) {
            throw new ServiceStartException("HTTP port " + host + ":" + port, failure);
        }
    }

    /**
     * Returns the port that the server listens on, also if the operating system chose it.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    @Override
    public void stop() {
        handler.shutdown();
        try {
            handler.awaitShutdown(DRAIN_TIMEOUT_MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        server.stop();
    }
}
