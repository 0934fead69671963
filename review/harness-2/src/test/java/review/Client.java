package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A stand-in for a client: one channel to a gateway. */
final class Client implements AutoCloseable {

    final Socket socket;
    final InputStream input;

    Client(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(30_000);
        input = new BufferedInputStream(socket.getInputStream());
    }

    static String request(String method, String path, String id, long budgetMs, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: " + id
                + "\r\nX-Request-Deadline: " + budgetMs + "\r\nApi-Key: key-1\r\n"
                + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads a whole answer. */
    Message answer() throws IOException {
        Message head = Message.readHead(input);
        return head == null ? null : head.readBody(input);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
