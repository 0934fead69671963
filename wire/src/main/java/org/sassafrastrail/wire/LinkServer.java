package org.sassafrastrail.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.runtime.ServiceStartException;

/** Accepts links from other processes and runs each on its own thread. */
public final class LinkServer implements Service {

    /** More than the links that a fleet of hundreds of VMs needs. */
    private static final int MAX_LINKS = 2_000;

    private static final long ACCEPT_RETRY_MILLISECONDS = 200;

    private final String host;
    private final int port;
    private final LinkSettings settings;
    private final Set<SocketLink> links = ConcurrentHashMap.newKeySet();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private volatile ServerSocket server;

    /**
     * Creates a server, which listens once it is started.
     *
     * @param host the address to listen on
     * @param port the port to listen on
     * @param settings the settings shared by all links of the process
     */
    public LinkServer(String host, int port, LinkSettings settings) {
        this.host = host;
        this.port = port;
        this.settings = settings;
    }

    @Override
    public void start() {
        try {
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getByName(host), port));
        } catch (IOException bindFailure) {
            throw new ServiceStartException("control port " + port, bindFailure);
        }
        daemonThread("link-server", this::acceptConnections).start();
    }

    private void acceptConnections() {
        try {
            do {
                acceptUntilFailure();
            } while (!stopped.await(ACCEPT_RETRY_MILLISECONDS, TimeUnit.MILLISECONDS));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Accepts connections until that fails, because the server was closed or no file descriptor is left. */
    private void acceptUntilFailure() {
        try {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                if (links.size() < MAX_LINKS) {
                    daemonThread("link-" + socket.getPort(), () -> runLink(socket))
                            .start();
                } else {
                    settings.metrics().count("link-closures", LinkCloseReason.TOO_MANY_LINKS);
                    socket.close();
                }
            }
        } catch (IOException failed) {
            settings.log().debug("link-accept-ended", LogField.of("port", port), LogField.of("cause", failed));
        }
    }

    private void runLink(Socket socket) {
        SocketLink link = new SocketLink(socket, settings);
        links.add(link);
        if (server.isClosed()) {
            link.close();
        }
        link.run();
        links.remove(link);
    }

    private static Thread daemonThread(String name, Runnable work) {
        Thread thread = new Thread(work, name);
        thread.setDaemon(true);
        return thread;
    }

    @Override
    public void stop() {
        stopped.countDown();
        try {
            if (server != null) {
                server.close();
            }
        } catch (IOException ignored) {
            settings.log().debug("link-server-close-failed", LogField.of("port", port));
        }
        links.forEach(SocketLink::close);
    }
}
