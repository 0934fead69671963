package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A request or response as it was read: the first line, the fields by their names in lower case, and the body. */
record Message(String firstLine, Map<String, String> fields, byte[] body) {

    String field(String name) {
        return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String path() {
        return firstLine.split(" ")[1];
    }

    String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Reads the head. Returns null if the channel ends before its first byte. */
    static Message readHead(InputStream input) throws IOException {
        String first = readLine(input);
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return new Message(first, fields, new byte[0]);
    }

    /** Reads the body that the head announces. */
    Message readBody(InputStream input) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        if (field("transfer-encoding").equals("chunked")) {
            for (int size = chunkSize(input); size > 0; size = chunkSize(input)) {
                read.write(exactly(input, size));
                readLine(input);
            }
            readLine(input);
        } else if (!field("content-length").isEmpty()) {
            read.write(exactly(input, Integer.parseInt(field("content-length"))));
        }
        return new Message(firstLine, fields, read.toByteArray());
    }

    static int chunkSize(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) {
            throw new EOFException("channel ended between chunks");
        }
        return Integer.parseInt(line.split(";")[0].strip(), 16);
    }

    static byte[] exactly(InputStream input, int size) throws IOException {
        byte[] bytes = input.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("channel ended after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }

    /** Returns null at the end of the channel. */
    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("channel ended inside a line");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }
}
