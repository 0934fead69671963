package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client with a kept channel to one gateway. */
final class Caller implements AutoCloseable {

    static final int NO_ANSWER = 0;

    private static final int READ_TIMEOUT_MILLISECONDS = 15_000;

    private final int port;
    private Socket socket;
    private InputStream input;

    Caller(int port) {
        this.port = port;
    }

    /** An answer; its status is {@link #NO_ANSWER} if the channel ended without a complete one. */
    record Answer(int status, String body) {}

    /** Sends a request on the kept channel, and returns its answer. The next request after a failure opens a new channel. */
    Answer send(String method, String target, String fields, byte[] body) {
        try {
            if (socket == null) {
                socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
                input = new BufferedInputStream(socket.getInputStream());
            }
            String head = method + " " + target + " HTTP/1.1\r\nHost: x.example\r\n" + fields + "Content-Length: "
                    + body.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            Http.Head answer = Http.readHead(input);
            if (answer == null) {
                close();
                return new Answer(NO_ANSWER, "");
            }
            String text = new String(Http.readBody(input, answer), StandardCharsets.ISO_8859_1);
            if (answer.field("connection").equalsIgnoreCase("close")) {
                close();
            }
            return new Answer(answer.status(), text);
        } catch (IOException | RuntimeException ended) {
            close();
            return new Answer(NO_ANSWER, "");
        }
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException closed) {
            // It has ended already.
        }
        socket = null;
    }
}
