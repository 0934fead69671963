package org.sassafrastrail.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.runtime.ServiceStartException;

/** Accepts links from other processes and runs each on its own thread. */
public final class LinkServer implements Service {

    private final String host;
    private final int port;
    private final LinkSettings settings;
    private final Set<SocketLink> links = ConcurrentHashMap.newKeySet();
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
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                daemonThread("link-" + socket.getPort(), () -> runLink(socket)).start();
            } catch (IOException closed) {
                settings.log().debug("link-accept-ended", LogField.of("port", port));
            }
        }
    }

    private void runLink(Socket socket) {
        SocketLink link = new SocketLink(socket, settings);
        links.add(link);
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
