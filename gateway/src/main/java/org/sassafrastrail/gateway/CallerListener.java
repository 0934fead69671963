package org.sassafrastrail.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import org.sassafrastrail.http.RequestFraming;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.HostAndPort;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Metrics;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.runtime.ServiceStartException;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/** An HTTP listener on one address that can stop accepting connections while it still serves the open ones. */
final class CallerListener implements Service {

    private static final int MAX_HEADERS_BYTES = 64 * 1024;
    private static final int HEADER_TIMEOUT_MILLISECONDS = 5_000;
    /** Short, because connections that wait more than a fraction of a second belong to callers that have given up. */
    private static final int BACKLOG = 128;

    private static final int MAX_ACCEPTS_PER_EVENT = 64;

    /** Longer than any caller keeps a connection idle, so that none is closed while a request is being sent. */
    private static final int IDLE_TIMEOUT_MILLISECONDS = 60_000;

    private final String address;
    private final XnioWorker worker;
    private final HttpOpenListener listener;
    private final Metrics metrics;
    private final EventLog log;
    private AcceptingChannel<? extends StreamConnection> server;
    private volatile boolean accepting = true;

    CallerListener(
            String address,
            XnioWorker worker,
            ByteBufferPool buffers,
            HttpHandler handler,
            Metrics metrics,
            EventLog log) {
        this.address = address;
        this.worker = worker;
        this.metrics = metrics;
        this.log = log;
        this.listener = new HttpOpenListener(
                buffers,
                OptionMap.builder()
                        .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADERS_BYTES)
                        .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADER_TIMEOUT_MILLISECONDS)
                        .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLISECONDS)
                        .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                        .getMap());
        listener.setRootHandler(handler);
    }

    @Override
    public synchronized void start() {
        HostAndPort hostAndPort = HostAndPort.parse(address);
        InetSocketAddress socket = new InetSocketAddress(hostAndPort.host(), hostAndPort.port());
        OptionMap options = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .getMap();
        try {
            server = worker.createStreamConnectionServer(socket, this::acceptBatch, options);
            applyAccepting();
        } catch (IOException failure) {
            throw new ServiceStartException("HTTP port " + address, failure);
        }
    }

    /**
     * Accepts a batch of waiting connections per event. Undertow's own listener accepts one, so that under a high
     * connection rate callers wait for seconds and their requests are read too late. If accepting is suspended when an
     * event is processed, the waiting connections are closed unread, which costs far less than a refusal.
     */
    private void acceptBatch(AcceptingChannel<? extends StreamConnection> channel) {
        try {
            int accepted = 0;
            StreamConnection next = channel.accept();
            while (next != null) {
                if (!accepting) {
                    closeUnread(next);
                } else {
                    RequestFraming.check(next);
                    listener.handleEvent(next);
                    accepted++;
                }
                next = accepted < MAX_ACCEPTS_PER_EVENT ? channel.accept() : null;
            }
        } catch (IOException failed) {
            log.warn("connection-not-accepted", LogField.of("address", address), LogField.of("cause", failed));
        }
    }

    private void closeUnread(StreamConnection connection) {
        metrics.count("connections-closed-unread", 1);
        IoUtils.safeClose(connection);
    }

    /** Accepts new connections, or leaves them in the operating system's short queue. Can be called before the start. */
    synchronized void setAccepting(boolean accepting) {
        this.accepting = accepting;
        if (server != null && server.isOpen()) {
            applyAccepting();
        }
    }

    private void applyAccepting() {
        if (accepting) {
            server.resumeAccepts();
        } else {
            server.suspendAccepts();
        }
    }

    /** Closes the server socket, so that new connections are rejected. */
    synchronized void stopAccepting() {
        IoUtils.safeClose(server);
    }

    @Override
    public void stop() {
        stopAccepting();
        listener.closeConnections();
    }
}
