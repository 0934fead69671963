package org.sassafrastrail.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Service;

/** Maintains a link to one address and redials after an interval whenever the link ends. */
public final class LinkDialer implements Service {

    private final String host;
    private final int port;
    private final Duration redialInterval;
    private final LinkSettings settings;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private volatile SocketLink link;
    private volatile Thread thread;
    private volatile boolean connected;

    /**
     * Creates a dialer, which connects once it is started.
     *
     * @param host the host to connect to
     * @param port the port to connect to
     * @param redialInterval the time between the end of a link or a failed attempt and the next attempt
     * @param settings the settings shared by all links of the process
     */
    public LinkDialer(String host, int port, Duration redialInterval, LinkSettings settings) {
        this.host = host;
        this.port = port;
        this.redialInterval = redialInterval;
        this.settings = settings;
    }

    @Override
    public void start() {
        thread = new Thread(this::run, "link-" + host + ":" + port);
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            do {
                dial();
            } while (!stopped.await(redialInterval.toMillis(), TimeUnit.MILLISECONDS));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void dial() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), (int)
                    settings.connectTimeout().toMillis());
            link = new SocketLink(socket, settings);
            if (stopped.getCount() == 0) {
                link.close();
            }
            connected = true;
            link.run();
        } catch (IOException unreachable) {
            settings.metrics().count("link-closures", LinkCloseReason.NOT_CONNECTED);
            settings.log().debug("link-not-connected", LogField.of("host", host), LogField.of("port", port));
        } finally {
            connected = false;
        }
    }

    /**
     * Returns whether the address accepted a connection that has not ended.
     *
     * @return whether it is connected
     */
    public boolean isConnected() {
        return connected;
    }

    @Override
    public void stop() {
        stopped.countDown();
        if (link != null) {
            link.close();
        }
        if (thread != null) {
            thread.interrupt();
        }
    }
}
