package org.sassafrastrail.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts a stream into whole events and remembers the identifier of the last, so that the stream can go on elsewhere. An
 * event that never comes whole is not passed on.
 */
final class EventStreamSplitter {

    private static final String IDENTIFIER_FIELD = "id:";

    private static final int MAX_EVENT_BYTES = 256 * 1024;

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private Optional<String> lastIdentifier = Optional.empty();

    /** Takes what came and gives all events that are whole now. */
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

    /** Tells whether what came after the last whole event is too large to be a part of one. */
    boolean isOverLimit() {
        return partial.size() > MAX_EVENT_BYTES;
    }

    /** Gives what came after the last whole event, at the end of a whole stream. */
    byte[] remainder() {
        byte[] all = partial.toByteArray();
        partial.reset();
        return all;
    }

    /** Forgets an event that broke off. */
    void discardPartial() {
        partial.reset();
    }

    Optional<String> lastIdentifier() {
        return lastIdentifier;
    }

    /** An event ends with an empty line; lines end with a line feed, alone or after a carriage return. */
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
