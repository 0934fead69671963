package org.sassafrastrail.http;

import java.nio.ByteBuffer;
import java.util.Optional;

/** Checks the chunks and trailers of one body, RFC 9112 section 7.1. */
final class ChunkedBodyChecker {

    /** A size with more digits is larger than any body. */
    private static final int MAX_SIZE_DIGITS = 15;

    private static final int HEXADECIMAL = 16;

    private enum Position {
        SIZE,
        DATA,
        DATA_END,
        TRAILERS,
        ENDED
    }

    private final LineCollector line;
    private Position position = Position.SIZE;
    private boolean carriageReturnRead;
    private long remaining;
    private Optional<String> fault = Optional.empty();

    /**
     * Creates a checker at the first size.
     *
     * @param line collects lines; empty
     */
    ChunkedBodyChecker(LineCollector line) {
        this.line = line;
    }

    /** Returns whether the body has ended. */
    boolean isEnded() {
        return position == Position.ENDED;
    }

    /** Returns whether nothing of a line or of the end of a chunk has been read. */
    boolean isBetweenLines() {
        return line.isEmpty() && !carriageReturnRead;
    }

    Optional<String> fault() {
        return fault;
    }

    /** Consumes one byte or more of the body. */
    void advance(ByteBuffer bytes) {
        switch (position) {
            case DATA -> skipData(bytes);
            case DATA_END -> endData(bytes.get());
            default -> extendLine(bytes.get());
        }
    }

    private void skipData(ByteBuffer bytes) {
        int count = (int) Math.min(remaining, bytes.remaining());
        bytes.position(bytes.position() + count);
        remaining -= count;
        if (remaining == 0) {
            position = Position.DATA_END;
        }
    }

    private void endData(byte next) {
        if (next != (carriageReturnRead ? '\n' : '\r')) {
            fault = Optional.of("chunk longer than its size");
            return;
        }
        position = carriageReturnRead ? Position.SIZE : Position.DATA_END;
        carriageReturnRead = !carriageReturnRead;
    }

    private void extendLine(byte next) {
        if (line.add(next)) {
            if (position == Position.SIZE) {
                readSize(line.text());
            } else {
                readTrailer(line.text());
            }
            line.clear();
        }
    }

    private void readSize(String text) {
        int digits =
                (int) text.chars().takeWhile(ChunkedBodyChecker::isHexDigit).count();
        if (digits == 0 || digits > MAX_SIZE_DIGITS || !isEndOfSize(text.substring(digits))) {
            fault = Optional.of("chunk size is not a number");
            return;
        }
        remaining = Long.parseLong(text.substring(0, digits), HEXADECIMAL);
        position = remaining == 0 ? Position.TRAILERS : Position.DATA;
    }

    /** Returns whether what follows the digits is nothing or an extension. */
    private boolean isEndOfSize(String rest) {
        return line.isSound()
                && !line.isCut()
                && (rest.isBlank() || rest.stripLeading().startsWith(";"));
    }

    private void readTrailer(String text) {
        if (!line.isSound() || !text.isEmpty() && text.indexOf(':') <= 0) {
            fault = Optional.of("trailer is not a field");
        } else if (text.isEmpty()) {
            position = Position.ENDED;
        }
    }

    private static boolean isHexDigit(int character) {
        return character >= '0' && character <= '9'
                || character >= 'a' && character <= 'f'
                || character >= 'A' && character <= 'F';
    }
}
