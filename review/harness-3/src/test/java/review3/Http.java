package review3;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {

    private static final int MAX_HEAD_BYTES = 64 * 1024;
    private static final int HEXADECIMAL = 16;

    private Http() {}

    /** The head of a message: its first line, and its fields by lower-case name. */
    record Head(String line, Map<String, String> fields) {

        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        int length() {
            return field("content-length").isEmpty() ? 0 : Integer.parseInt(field("content-length"));
        }

        /** The status of a response. */
        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        /** The method or target of a request. */
        String word(int index) {
            return line.split(" ")[index];
        }
    }

    /** Returns the next head, null if the stream has ended before it. */
    static Head readHead(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int newLines = 0;
        while (newLines < 2) {
            int next = input.read();
            if (next < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("the head was cut off");
            }
            bytes.write(next);
            newLines = next == '\n' ? newLines + 1 : next == '\r' ? newLines : 0;
            if (bytes.size() > MAX_HEAD_BYTES) {
                throw new IOException("head too large");
            }
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> fields = new TreeMap<>();
        for (int index = 1; index < lines.length; index++) {
            int colon = lines[index].indexOf(':');
            if (colon > 0) {
                fields.put(
                        lines[index].substring(0, colon).toLowerCase(Locale.ROOT),
                        lines[index].substring(colon + 1).trim());
            }
        }
        return new Head(lines[0], fields);
    }

    /** Reads a body to its end, as its head frames it. A body that is cut off fails with an exception. */
    static byte[] readBody(InputStream input, Head head) throws IOException {
        if (!head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
            return readExactly(input, head.length());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(readLine(input), HEXADECIMAL);
            body.writeBytes(readExactly(input, size));
            readLine(input);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static byte[] readExactly(InputStream input, int count) throws IOException {
        byte[] bytes = input.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the body was cut off");
        }
        return bytes;
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = input.read();
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("the body was cut off");
            }
            if (next != '\r') {
                line.append((char) next);
            }
            next = input.read();
        }
        return line.toString();
    }
}
