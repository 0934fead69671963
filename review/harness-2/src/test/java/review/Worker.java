package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A stand-in for a worker: takes channels, reads requests one after the other and lets a script answer them. */
final class Worker implements AutoCloseable {

    /** Answers one request. */
    interface Script {

        /** Returns whether the channel is kept. */
        boolean answer(Message request, Channel channel) throws Exception;
    }

    /** A channel from a gateway. */
    static final class Channel {
        final int number;
        final InputStream input;
        final OutputStream output;
        final Socket socket;

        Channel(int number, Socket socket) throws IOException {
            this.number = number;
            this.socket = socket;
            this.input = new BufferedInputStream(socket.getInputStream());
            this.output = socket.getOutputStream();
        }

        void write(String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
        }
    }

    final String id;
    private final ServerSocket server = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
    private final Script script;
    private final boolean readsBodies;
    private int channels;

    Worker(String id, Script script) throws IOException {
        this(id, true, script);
    }

    /** Creates a worker whose script may read the bodies of requests itself. */
    Worker(String id, boolean readsBodies, Script script) throws IOException {
        this.id = id;
        this.script = script;
        this.readsBodies = readsBodies;
        daemon(this::accept);
    }

    static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                channels++;
                Channel channel = new Channel(channels, socket);
                daemon(() -> serve(channel));
            }
        } catch (IOException closed) {
            // The worker ends.
        }
    }

    private void serve(Channel channel) {
        try (channel.socket) {
            boolean kept = true;
            while (kept) {
                Message head = Message.readHead(channel.input);
                if (head == null) {
                    return;
                }
                Message request = readsBodies ? head.readBody(channel.input) : head;
                if (!request.field("x-expect-instance").equals(id)) {
                    channel.write("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id
                            + "\r\nContent-Length: 0\r\n\r\n");
                } else {
                    kept = script.answer(request, channel);
                }
            }
        } catch (Exception broken) {
            // The gateway closed the channel; a script notes what it has to.
        }
    }

    /** Returns the head of an answer with the receipt. */
    static String head(Message request, int status, String fields) {
        return "HTTP/1.1 " + status + " Status\r\nX-Request-Id: " + request.field("x-request-id")
                + "\r\nX-Response-Seal: receipt-of-" + request.field("x-request-id") + "\r\n" + fields + "\r\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    String entry(String service, int slots) {
        return entry(service, slots, "ready", 1);
    }

    String entry(String service, int slots, String state, int seq) {
        return """
                {"service":"%s","address":"127.0.0.1:%d","zone":"z1","version":"v1","slots":%d,"state":"%s",\
                "coldLeftMs":0,"seq":%d,"born":1700000000000}""".formatted(service, server.getLocalPort(), slots, state, seq);
    }

    int port() {
        return server.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
