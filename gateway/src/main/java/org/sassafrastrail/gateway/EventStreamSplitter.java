package org.sassafrastrail.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream into complete events and remembers the identifier of the last one, so that the stream can be resumed at
 * another upstream. An incomplete event is not forwarded.
 */
final class EventStreamSplitter {

    private static final String IDENTIFIER_FIELD = "id:";

    private static final int MAX_EVENT_BYTES = 256 * 1024;

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private Optional<String> lastIdentifier = Optional.empty();

    /** Adds a part of the stream and returns all events that are complete now. */
    byte[] completeEvents(ByteBuffer part) {
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        partial.writeBytes(bytes);
        byte[] all = partial.toByteArray();
        int end = endOfLastEvent(all);
        if (end == 0) {
            return new byte[0];
        }
        partial.reset();
        partial.write(all, end, all.length - end);
        byte[] events = Arrays.copyOf(all, end);
        new String(events, StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith(IDENTIFIER_FIELD))
                .forEach(line -> lastIdentifier =
                        Optional.of(line.substring(IDENTIFIER_FIELD.length()).trim()));
        return events;
    }

    /** Returns whether the incomplete event exceeds the size limit. */
    boolean isOverLimit() {
        return partial.size() > MAX_EVENT_BYTES;
    }

    /** Returns whether the stream is inside an event. Line breaks after the last event belong to none. */
    boolean isInsideEvent() {
        return !partial.toString(StandardCharsets.UTF_8).isBlank();
    }

    /** Returns the size of the incomplete event. */
    int partialBytes() {
        return partial.size();
    }

    /** Returns and removes what follows the last complete event, at the end of a complete stream. */
    byte[] remainder() {
        byte[] all = partial.toByteArray();
        partial.reset();
        return all;
    }

    /** Discards a truncated event. */
    void discardPartial() {
        partial.reset();
    }

    Optional<String> lastIdentifier() {
        return lastIdentifier;
    }

    /** Finds the end of the last event: an empty line; lines end with LF or CRLF. */
    private static int endOfLastEvent(byte[] all) {
        for (int index = all.length - 1; index > 0; index--) {
            if (all[index] == '\n'
                    && (all[index - 1] == '\n' || index > 1 && all[index - 1] == '\r' && all[index - 2] == '\n')) {
                return index + 1;
            }
        }
        return 0;
    }
}
