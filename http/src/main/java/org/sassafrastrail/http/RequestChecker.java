package org.sassafrastrail.http;

import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Checks the framing of the requests that arrive on a connection, RFC 9112 sections 2 to 7. Where a body ends must have one
 * reading only, else a request inside the body could be taken for one of its own. Undertow, for one, reads a chunk size that is
 * no number as that of the last chunk.
 *
 * <p>A head with a fault may be read to its end, so that the request can be refused. Nothing may be read after it, nor after a
 * fault in a body.
 */
public final class RequestChecker implements FramingChecker {

    private static final Pattern FIELD_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String CHUNKED = "chunked";
    private static final byte LAST_DIGIT_OF_VERSION_WITH_CHUNKS = '1';

    private enum Position {
        REQUEST_LINE,
        FIELDS,
        LENGTH_BODY,
        CHUNKS
    }

    private final LineCollector line = new LineCollector();
    private Position position = Position.REQUEST_LINE;
    private ChunkedBodyChecker chunks = new ChunkedBodyChecker(line);
    private boolean allowsChunks;
    private boolean chunked;
    private OptionalLong length = OptionalLong.empty();
    private long remaining;
    private long soundHeads;
    private long requests;
    private Optional<String> headFault = Optional.empty();
    private Optional<String> fault = Optional.empty();

    /**
     * Another reader has found the end of the next request's head.
     *
     * @return whether the head is sound and ends there
     */
    public boolean requestStarted() {
        requests++;
        return requests <= soundHeads;
    }

    /** Returns how many bytes precede the line, or the end of a chunk, with a fault, or belong to a head with one. */
    @Override
    public int check(ByteBuffer bytes) {
        int start = bytes.position();
        int readable = 0;
        while (bytes.hasRemaining() && fault.isEmpty()) {
            if (position != Position.CHUNKS || chunks.isBetweenLines()) {
                readable = bytes.position() - start;
            }
            advance(bytes);
        }
        boolean inHead = headFault.isPresent();
        return fault.isEmpty() || inHead ? bytes.position() - start : readable;
    }

    @Override
    public Optional<String> fault() {
        return fault;
    }

    private void advance(ByteBuffer bytes) {
        switch (position) {
            case LENGTH_BODY -> skipBody(bytes);
            case CHUNKS -> checkChunks(bytes);
            default -> checkHead(bytes.get());
        }
    }

    private void skipBody(ByteBuffer bytes) {
        int count = (int) Math.min(remaining, bytes.remaining());
        bytes.position(bytes.position() + count);
        remaining -= count;
        if (remaining == 0) {
            beginRequest();
        }
    }

    private void checkChunks(ByteBuffer bytes) {
        chunks.advance(bytes);
        fault = chunks.fault();
        if (chunks.isEnded()) {
            beginRequest();
        }
    }

    private void beginRequest() {
        position = Position.REQUEST_LINE;
        allowsChunks = false;
        chunked = false;
        length = OptionalLong.empty();
    }

    private void checkHead(byte next) {
        if (line.add(next)) {
            readLine(line.text());
            line.clear();
        }
    }

    private void readLine(String text) {
        if (!line.isSound()) {
            headFault("line without a sound end");
        }
        if (position == Position.REQUEST_LINE) {
            readRequestLine(text);
        } else if (text.isEmpty()) {
            endHead();
        } else {
            readField(text);
        }
    }

    private void headFault(String found) {
        headFault = Optional.of(headFault.orElse(found));
    }

    /** Empty lines may precede a request. A line may be longer than what is kept of it, so its end is looked at by itself. */
    private void readRequestLine(String text) {
        if (!text.isEmpty()) {
            allowsChunks = line.lastByte() == LAST_DIGIT_OF_VERSION_WITH_CHUNKS;
            position = Position.FIELDS;
        }
    }

    private void readField(String text) {
        int colon = text.indexOf(':');
        String name = text.substring(0, Math.max(colon, 0)).toLowerCase(Locale.ROOT);
        if (!FIELD_NAME.matcher(name).matches()) {
            headFault("field without a sound name");
        } else if (name.equals(CONTENT_LENGTH)) {
            readLength(text.substring(colon + 1).strip());
        } else if (name.equals(TRANSFER_ENCODING)) {
            readCoding(text.substring(colon + 1).strip());
        }
    }

    private void readLength(String value) {
        if (line.isCut() || length.isPresent() || !LENGTH.matcher(value).matches()) {
            headFault("length is not one number");
        } else {
            length = OptionalLong.of(Long.parseLong(value));
        }
    }

    private void readCoding(String value) {
        if (line.isCut() || chunked || !value.equalsIgnoreCase(CHUNKED)) {
            headFault("transfer coding is not chunked alone");
        }
        chunked = true;
    }

    private void endHead() {
        if (chunked && (length.isPresent() || !allowsChunks)) {
            headFault("chunks beside a length or in HTTP/1.0");
        }
        if (headFault.isPresent()) {
            fault = headFault;
            return;
        }
        soundHeads++;
        remaining = length.orElse(0);
        if (chunked) {
            chunks = new ChunkedBodyChecker(line);
            position = Position.CHUNKS;
        } else if (remaining > 0) {
            position = Position.LENGTH_BODY;
        } else {
            beginRequest();
        }
    }
}
