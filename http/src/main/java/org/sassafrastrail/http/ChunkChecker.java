package org.sassafrastrail.http;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Optional;

/**
 * Checks the framing of chunked responses as their bytes are read, RFC 9112 section 7.1. Undertow reads a chunk size that is
 * no number as that of the last chunk, so that a response with garbage between its chunks would look complete.
 */
public final class ChunkChecker implements FramingChecker {

    private static final String TRANSFER_ENCODING = "transfer-encoding:";
    private static final String CHUNKED = "chunked";
    private static final String INFORMATIONAL_STATUS = "1";

    private enum Position {
        STATUS_LINE,
        HEADERS,
        CHUNKS,
        /** In a body without chunks, or after the response. */
        UNCHECKED
    }

    private final LineCollector line = new LineCollector();
    private Position position = Position.UNCHECKED;
    private ChunkedBodyChecker chunks = new ChunkedBodyChecker(line);
    private boolean expectsBody;
    private boolean informational;
    private boolean chunked;

    /**
     * Expects the head of a response next.
     *
     * @param withBody whether a response to the request may have a body
     */
    public void requestSent(boolean withBody) {
        position = Position.STATUS_LINE;
        expectsBody = withBody;
        chunked = false;
        line.clear();
        chunks = new ChunkedBodyChecker(line);
    }

    /** Returns how many bytes precede the line, or the end of a chunk, with a fault; all if there is none. */
    @Override
    public int check(ByteBuffer bytes) {
        int start = bytes.position();
        int sound = 0;
        while (bytes.hasRemaining() && fault().isEmpty()) {
            if (chunks.isBetweenLines()) {
                sound = bytes.position() - start;
            }
            advance(bytes);
        }
        return fault().isEmpty() ? bytes.position() - start : sound;
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

    @Override
    public Optional<String> fault() {
        return chunks.fault();
    }

    private void advance(ByteBuffer bytes) {
        switch (position) {
            case UNCHECKED -> bytes.position(bytes.limit());
            case CHUNKS -> {
                chunks.advance(bytes);
                position = chunks.isEnded() ? Position.UNCHECKED : Position.CHUNKS;
            }
            default -> extendLine(bytes.get());
        }
    }

    private void extendLine(byte next) {
        if (line.add(next)) {
            String text = line.text().strip();
            line.clear();
            if (position == Position.STATUS_LINE) {
                readStatusLine(text);
            } else {
                readHeader(text);
            }
        }
    }

    private void readStatusLine(String text) {
        if (!text.isEmpty()) {
            int space = text.indexOf(' ');
            informational = space >= 0 && text.substring(space).strip().startsWith(INFORMATIONAL_STATUS);
            position = Position.HEADERS;
        }
    }

    private void readHeader(String text) {
        if (!text.isEmpty()) {
            String field = text.toLowerCase(Locale.ROOT);
            chunked = field.startsWith(TRANSFER_ENCODING) ? field.endsWith(CHUNKED) : chunked;
        } else if (informational) {
            position = Position.STATUS_LINE;
        } else {
            position = chunked && expectsBody ? Position.CHUNKS : Position.UNCHECKED;
        }
    }
}
