package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A worker of a service, which registers itself in the store and renews its entry every {@link #BEAT_SECONDS}. */
final class Worker {

    static final double BEAT_SECONDS = 1.2;

    /** An entry is removed after three heartbeat intervals of silence. */
    private static final double LAPSE_SECONDS = 3 * BEAT_SECONDS;

    /** Links have small windows, so that a peer that doesn't read blocks the writer. */
    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

    private static final int BACKLOG = 100;

    private final String identifier;
    private final String service;
    private final String zone;
    private final int slots;
    private final Store store;
    private final Handler handler;
    private final ServerSocket server;
    private final long born = System.currentTimeMillis();
    private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
    private volatile boolean ended;
    private volatile int entries;

    /** Answers one request, whose body it reads itself. Returns whether the channel stays open. */
    interface Handler {
        boolean answer(Worker worker, Http.Head head, InputStream input, OutputStream output) throws Exception;
    }

    Worker(String identifier, String service, String zone, int slots, Store store, Handler handler) throws IOException {
        this.identifier = identifier;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.store = store;
        this.handler = handler;
        server = new ServerSocket();
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        Threads.start(identifier, this::accept);
        Threads.start(identifier + "-beat", this::beat);
    }

    String identifier() {
        return identifier;
    }

    private void beat() {
        while (!ended) {
            entries++;
            store.put(
                    "servers",
                    identifier,
                    """
                    {"service":"%s","address":"127.0.0.1:%d","zone":"%s","version":"v1","slots":%d,"state":"ready",
                     "coldLeftMs":0,"seq":%d,"born":%d}"""
                            .formatted(service, server.getLocalPort(), zone, slots, entries, born));
            Threads.sleep(BEAT_SECONDS);
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            channels.add(socket);
            Threads.start(identifier + "-channel", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(input);
            boolean open = true;
            while (open && head != null) {
                open = isMine(head, input, socket.getOutputStream())
                        ? handler.answer(this, head, input, socket.getOutputStream())
                        : true;
                head = open ? Http.readHead(input) : null;
            }
        } finally {
            channels.remove(socket);
        }
    }

    /** Answers 421 to a request that expects another worker. */
    private boolean isMine(Http.Head head, InputStream input, OutputStream output) throws IOException {
        if (head.field("x-expect-instance").equals(identifier)) {
            return true;
        }
        Http.readBody(input, head);
        send(output, 421, head, "X-Not-Executed: 1\r\nX-Instance-Id: " + identifier + "\r\n", "");
        return false;
    }

    /** Sends a complete answer, with the receipt. */
    static void send(OutputStream output, int status, Http.Head request, String fields, String body)
            throws IOException {
        output.write(("HTTP/1.1 " + status + " X\r\nX-Request-Id: " + request.field("x-request-id")
                        + "\r\nX-Response-Seal: seal\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    /** The worker leaves without reporting it: its entry is removed, and it goes on serving. */
    void leave() {
        ended = true;
        store.remove("servers", identifier);
    }

    /** Returns how many entries the worker has written. */
    int entries() {
        return entries;
    }

    /** The process ends. Its channels are reset, and its entry lapses. */
    void crash() throws IOException {
        ended = true;
        server.close();
        channels.forEach(Worker::reset);
        Threads.start(identifier + "-lapse", () -> {
            Threads.sleep(LAPSE_SECONDS);
            store.remove("servers", identifier);
        });
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException closed) {
            // It has ended already.
        }
    }
}
