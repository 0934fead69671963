package org.sassafrastrail.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream into complete events and remembers the identifier of the last one, so that the stream can be resumed at
 * another upstream. Identifiers increase, or none is a number. An incomplete event is not forwarded, nor anything from the
 * first bytes on that are not the next event.
 */
final class EventStreamSplitter {

    private static final int MAX_EVENT_BYTES = 256 * 1024;

    /** Identifiers with more digits are not compared as numbers. */
    private static final int MAX_DIGITS = 18;

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private Optional<String> lastIdentifier;
    private boolean garbled;

    /**
     * Creates a splitter that has received nothing.
     *
     * @param lastIdentifier the identifier of the last event that the caller has, empty for a stream from its start
     */
    EventStreamSplitter(Optional<String> lastIdentifier) {
        this.lastIdentifier = lastIdentifier;
    }

    /** Adds a part of the stream and returns all events that are complete now. */
    byte[] completeEvents(ByteBuffer part) {
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        partial.writeBytes(bytes);
        byte[] all = partial.toByteArray();
        int accepted = acceptEvents(all);
        if (accepted > 0) {
            partial.reset();
            partial.write(all, accepted, all.length - accepted);
        }
        return Arrays.copyOf(all, accepted);
    }

    /** Accepts complete events up to the first bytes that are not the next event, and returns the end of the last one. */
    private int acceptEvents(byte[] all) {
        int accepted = 0;
        int end = endOfEvent(all, accepted);
        while (end > 0 && accept(ByteBuffer.wrap(all, accepted, end - accepted))) {
            accepted = end;
            end = endOfEvent(all, accepted);
        }
        return accepted;
    }

    private boolean accept(ByteBuffer event) {
        if (isBlank(event)) {
            return true;
        }
        Optional<String> identifier = EventParser.identifier(event).filter(this::isAfterLast);
        garbled = identifier.isEmpty();
        lastIdentifier = identifier.or(() -> lastIdentifier);
        return !garbled;
    }

    private boolean isAfterLast(String identifier) {
        return lastIdentifier
                .map(last -> isNumber(last) && isNumber(identifier)
                        ? Long.parseLong(identifier) > Long.parseLong(last)
                        : !isNumber(last) && !isNumber(identifier) && !identifier.equals(last))
                .orElse(true);
    }

    private static boolean isNumber(String identifier) {
        return identifier.length() <= MAX_DIGITS
                && identifier.chars().allMatch(character -> character >= '0' && character <= '9');
    }

    /** Line breaks before an event, or after the last one, belong to none. */
    private static boolean isBlank(ByteBuffer event) {
        return StandardCharsets.ISO_8859_1.decode(event.duplicate()).chars().allMatch(EventStreamSplitter::isLineBreak);
    }

    /** Returns whether the incomplete event exceeds the size limit. */
    boolean isOverLimit() {
        return partial.size() > MAX_EVENT_BYTES;
    }

    /** Returns whether something other than the next event follows the last accepted one. */
    boolean isGarbled() {
        return garbled;
    }

    /** Returns whether the stream is inside an event. */
    boolean isInsideEvent() {
        return !isBlank(ByteBuffer.wrap(partial.toByteArray()));
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

    /** Discards what a broken attempt left of a truncated or garbled event. */
    void discardPartial() {
        partial.reset();
        garbled = false;
    }

    /** Returns the identifier of the last event that was accepted, or that the caller had before. */
    Optional<String> lastIdentifier() {
        return lastIdentifier;
    }

    /** Finds the end of the first empty line from an offset on, 0 for none. A line ends with LF, CR or both. */
    private static int endOfEvent(byte[] all, int from) {
        int lineStart = from;
        for (int index = from; index < all.length; index++) {
            if (isLineBreak(all[index])) {
                boolean secondOfPair = all[index] == '\n' && index > from && all[index - 1] == '\r';
                if (index == lineStart && !secondOfPair) {
                    return index + 1;
                }
                lineStart = index + 1;
            }
        }
        return 0;
    }

    private static boolean isLineBreak(int character) {
        return character == '\r' || character == '\n';
    }
}
