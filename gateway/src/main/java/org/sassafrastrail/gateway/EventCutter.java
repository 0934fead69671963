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
final class EventCutter {

    private static final String IDENTIFIER_FIELD = "id:";

    private static final int LARGEST_EVENT_BYTES = 256 * 1024;

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private Optional<String> last = Optional.empty();

    /** Takes what came and gives all events that are whole now. */
    byte[] whole(ByteBuffer part) {
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
                .forEach(line -> last =
                        Optional.of(line.substring(IDENTIFIER_FIELD.length()).trim()));
        return events;
    }

    /** Tells whether what came after the last whole event is too large to be a part of one. */
    boolean isOverLimit() {
        return partial.size() > LARGEST_EVENT_BYTES;
    }

    /** Gives what came after the last whole event, at the end of a whole stream. */
    byte[] rest() {
        byte[] all = partial.toByteArray();
        partial.reset();
        return all;
    }

    /** Forgets an event that broke off. */
    void forgetPartial() {
        partial.reset();
    }

    Optional<String> lastIdentifier() {
        return last;
    }

    /** An event ends with an empty line; lines end with a line feed, alone or after a carriage return. */
    private static int endOfLastEvent(byte[] all) {
        for (int at = all.length - 1; at > 0; at--) {
            if (all[at] == '\n' && (all[at - 1] == '\n' || at > 1 && all[at - 1] == '\r' && all[at - 2] == '\n')) {
                return at + 1;
            }
        }
        return 0;
    }
}
