package org.sassafrastrail.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/**
 * Checks the framing of chunked responses as their bytes are read, RFC 9112 section 7.1. Undertow reads a chunk size that is
 * no number as that of the last chunk, so that a response with garbage between its chunks would look complete.
 */
public final class ChunkChecker {

    /** Longer lines of a head are not looked at, and longer sizes with their extensions are not accepted. */
    private static final int MAX_LINE_BYTES = 1024;

    /** A size with more digits is larger than any response. */
    private static final int MAX_SIZE_DIGITS = 15;

    private static final String TRANSFER_ENCODING = "transfer-encoding:";
    private static final String CHUNKED = "chunked";
    private static final String INFORMATIONAL_STATUS = "1";

    private enum Position {
        STATUS_LINE,
        HEADERS,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        /** In a body without chunks, or after the response. */
        UNCHECKED
    }

    private final byte[] line = new byte[MAX_LINE_BYTES];
    private int lineLength;
    private Position position = Position.UNCHECKED;
    private boolean expectsBody;
    private boolean informational;
    private boolean chunked;
    private long chunkRemaining;
    private Optional<String> fault = Optional.empty();

    /**
     * Expects the head of a response next.
     *
     * @param withBody whether a response to the request may have a body
     */
    public void requestSent(boolean withBody) {
        position = Position.STATUS_LINE;
        expectsBody = withBody;
        chunked = false;
        lineLength = 0;
    }

    /**
     * Checks the next bytes.
     *
     * @param bytes the bytes, all of which are consumed
     * @return how many of them precede the line, or the end of a chunk, with a fault; all if there is none
     */
    public int check(ByteBuffer bytes) {
        int start = bytes.position();
        int sound = 0;
        while (bytes.hasRemaining() && fault.isEmpty()) {
            if (lineLength == 0) {
                sound = bytes.position() - start;
            }
            advance(bytes);
        }
        return fault.isEmpty() ? bytes.position() - start : sound;
    }

    /**
     * Returns whether the head that was read last frames the body in the same way as another reader of it found.
     *
     * @param framing the framing that the other one found
     * @return whether both are the same
     */
    public boolean agreesWith(BodyFraming framing) {
        return chunked == (framing.end() == ResponseFraming.BodyEnd.LAST_CHUNK);
    }

    /**
     * Returns what is wrong with the framing.
     *
     * @return the fault, empty if there is none
     */
    public Optional<String> fault() {
        return fault;
    }

    private void advance(ByteBuffer bytes) {
        switch (position) {
            case UNCHECKED -> bytes.position(bytes.limit());
            case CHUNK_DATA -> skipData(bytes);
            case CHUNK_END -> endChunk(bytes.get());
            default -> extendLine(bytes.get());
        }
    }

    private void skipData(ByteBuffer bytes) {
        int count = (int) Math.min(chunkRemaining, bytes.remaining());
        bytes.position(bytes.position() + count);
        chunkRemaining -= count;
        if (chunkRemaining == 0) {
            position = Position.CHUNK_END;
        }
    }

    private void endChunk(byte next) {
        if (next != (lineLength == 0 ? '\r' : '\n')) {
            fault = Optional.of("chunk longer than its size");
        } else if (lineLength == 0) {
            lineLength = 1;
        } else {
            begin(Position.CHUNK_SIZE);
        }
    }

    private void extendLine(byte next) {
        if (next == '\n') {
            endLine(new String(line, 0, Math.min(lineLength, MAX_LINE_BYTES), StandardCharsets.ISO_8859_1));
        } else {
            if (lineLength < MAX_LINE_BYTES) {
                line[lineLength] = next;
            }
            lineLength++;
        }
    }

    private void endLine(String text) {
        switch (position) {
            case STATUS_LINE -> readStatusLine(text.strip());
            case HEADERS -> readHeader(text.strip());
            case CHUNK_SIZE -> readSize(text);
            default -> readTrailer(text);
        }
    }

    private void begin(Position next) {
        position = next;
        lineLength = 0;
    }

    private void readStatusLine(String text) {
        if (!text.isEmpty()) {
            int space = text.indexOf(' ');
            informational = space >= 0 && text.substring(space).strip().startsWith(INFORMATIONAL_STATUS);
            begin(Position.HEADERS);
        } else {
            begin(Position.STATUS_LINE);
        }
    }

    private void readHeader(String text) {
        if (!text.isEmpty()) {
            String field = text.toLowerCase(Locale.ROOT);
            chunked = field.startsWith(TRANSFER_ENCODING) ? field.endsWith(CHUNKED) : chunked;
            begin(Position.HEADERS);
        } else if (informational) {
            begin(Position.STATUS_LINE);
        } else {
            begin(chunked && expectsBody ? Position.CHUNK_SIZE : Position.UNCHECKED);
        }
    }

    private void readSize(String text) {
        int digits = (int) text.chars().takeWhile(ChunkChecker::isHexDigit).count();
        String rest = text.substring(digits);
        if (digits == 0 || digits > MAX_SIZE_DIGITS || !isEndOfSize(rest)) {
            fault = Optional.of("chunk size is not a number");
            return;
        }
        chunkRemaining = Long.parseLong(text.substring(0, digits), 16);
        begin(chunkRemaining == 0 ? Position.TRAILERS : Position.CHUNK_DATA);
    }

    /** Returns whether what follows the digits is the end of the line or an extension. */
    private boolean isEndOfSize(String rest) {
        return lineLength <= MAX_LINE_BYTES
                && rest.endsWith("\r")
                && (rest.isBlank() || rest.stripLeading().startsWith(";"));
    }

    private void readTrailer(String text) {
        if (!text.endsWith("\r") && lineLength <= MAX_LINE_BYTES || text.length() > 1 && text.indexOf(':') <= 0) {
            fault = Optional.of("trailer is not a field");
        } else {
            begin(text.length() == 1 ? Position.UNCHECKED : Position.TRAILERS);
        }
    }

    private static boolean isHexDigit(int character) {
        return character >= '0' && character <= '9'
                || character >= 'a' && character <= 'f'
                || character >= 'A' && character <= 'F';
    }
}
