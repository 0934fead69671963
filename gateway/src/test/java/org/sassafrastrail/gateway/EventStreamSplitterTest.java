package org.sassafrastrail.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests which bytes of a stream are its next event. Guards against ORDER: garbage was forwarded as an event. */
class EventStreamSplitterTest {

    private static final String FIRST = "id: 1\ndata: one\n\n";
    private static final String SECOND = "id: 2\r\ndata: two\r\n\r\n";
    private static final String THIRD = "x-weight-versions:2\nid: 30\ndata: three: \t\u00e4\n: comment\ndata:\n\n";
    private static final String EVENTS = FIRST + SECOND + THIRD;
    private static final int TRIES = 2000;
    private static final int MAX_GARBAGE_BYTES = 40;

    private final EventStreamSplitter splitter = new EventStreamSplitter(Optional.empty());

    private String complete(String text) {
        return complete(splitter, text.getBytes(StandardCharsets.UTF_8));
    }

    private static String complete(EventStreamSplitter splitter, byte[] part) {
        return new String(splitter.completeEvents(ByteBuffer.wrap(part)), StandardCharsets.UTF_8);
    }

    @Test
    void eventsAreForwardedWhereverTheyAreSplit() {
        byte[] all = EVENTS.getBytes(StandardCharsets.UTF_8);
        for (int size = 1; size <= all.length; size++) {
            EventStreamSplitter split = new EventStreamSplitter(Optional.empty());
            StringBuilder forwarded = new StringBuilder();
            for (int start = 0; start < all.length; start += size) {
                int end = Math.min(all.length, start + size);
                forwarded.append(complete(split, Arrays.copyOfRange(all, start, end)));
            }
            assertThat(forwarded).hasToString(EVENTS);
            assertThat(split.isGarbled()).isFalse();
            assertThat(split.isInsideEvent()).isFalse();
            assertThat(split.lastIdentifier()).contains("30");
        }
    }

    /** Guards against ORDER: what is two events to callers, who end lines with CR too, was one here. */
    @ParameterizedTest
    @ValueSource(strings = {"id: 2\ndata: a\r\r", "id: 2\rdata: a\r\r", "id: 2\r\ndata: a\r\r"})
    void garbageAfterEventThatEndsWithCarriageReturnIsNotForwarded(String event) {
        assertThat(complete(FIRST + event + "data: garbage\n\n" + THIRD)).isEqualTo(FIRST + event);
        assertThat(splitter.isGarbled()).isTrue();
    }

    @Test
    void lineBreaksBetweenEventsBelongToNone() {
        assertThat(complete("\n\n" + FIRST + "\n\n\n" + SECOND + "\r\n")).startsWith("\n\n" + FIRST);
        assertThat(splitter.isGarbled()).isFalse();
        assertThat(splitter.lastIdentifier()).contains("2");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "garbage\n\n",
                "garbage\r\n\r\n",
                "data: two\n\n",
                "id:\ndata: two\n\n",
                "id: 2\nid: 3\ndata: two\n\n",
                "id: 2\ngarbage\n\n",
                "id: 2\nGarbage: two\n\n",
                "id: 2\n: \u0000\n\n",
                "garbageid: 2\ndata: two\n\n",
                "id: 1\ndata: one\n\n",
                "id: 0\ndata: zero\n\n",
                "id: 2x\ndata: two\n\n",
                "id: -2\ndata: two\n\n",
                "id: 99999999999999999999\ndata: two\n\n",
                ": comment\n\n",
                "data: two\r\r",
                "id: 2\n\rdata: two\n\n",
                "id: 2\n\n",
                "data: two\n\r\n",
                "garbage\r\n\r",
                "id: 2 \ndata: two\n\n",
                "id:  2\ndata: two\n\n",
                "id: 2\t\ndata: two\n\n",
                "\ufeffid: 2\ndata: two\n\n"
            })
    void nothingIsForwardedFromGarbageOn(String garbage) {
        assertThat(complete(FIRST + garbage + SECOND + THIRD)).isEqualTo(FIRST);
        assertThat(splitter.isGarbled()).isTrue();
        assertThat(splitter.lastIdentifier()).contains("1");
    }

    @Test
    void identifiersThatAreNotNumbersOnlyDiffer() {
        String events = "id: b\ndata: one\n\nid: a\ndata: two\n\n";
        assertThat(complete(events + "id: a\ndata: two\n\n")).isEqualTo(events);
        assertThat(splitter.isGarbled()).isTrue();
    }

    /** Guards against ORDER: after an event whose identifier is no number, events with any identifiers were forwarded. */
    @Test
    void identifiersAreAllNumbersOrNone() {
        String event = "id: b\ndata: one\n\n";
        assertThat(complete(event + FIRST + SECOND)).isEqualTo(event);
        assertThat(splitter.isGarbled()).isTrue();
    }

    /** Guards against ORDER: clients of event streams leave out one space before an identifier, and some leave out all. */
    @ParameterizedTest
    @ValueSource(strings = {"id:  1\ndata: one\n\n", "id: 1 \ndata: one\n\n", "id:  \ndata: one\n\n"})
    void firstIdentifierHasNoSpacesAroundIt(String event) {
        assertThat(complete(event)).isEmpty();
        assertThat(splitter.isGarbled()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"\ufeff" + FIRST, "\ufeff\n" + FIRST, "\n\ufeff" + FIRST})
    void byteOrderMarkIsNoPartOfEvents(String stream) {
        assertThat(complete(stream)).isBlank();
        assertThat(splitter.isGarbled()).isTrue();
    }

    @Test
    void resumedStreamGoesOnAfterTheLastEvent() {
        complete(FIRST + "garbage\n\n");
        splitter.discardPartial();
        assertThat(complete(SECOND)).isEqualTo(SECOND);
        assertThat(splitter.isGarbled()).isFalse();
    }

    private static String withoutLineBreaks(String text) {
        return text.replaceAll("[\r\n]", "");
    }

    /** Random bytes before an event: whatever is forwarded is a prefix of the events, but for line breaks between them. */
    @Test
    void randomBytesAreNotForwarded() {
        Random random = new Random(43);
        for (int count = 0; count < TRIES; count++) {
            byte[] garbage = new byte[1 + random.nextInt(MAX_GARBAGE_BYTES)];
            random.nextBytes(garbage);
            EventStreamSplitter garbled = new EventStreamSplitter(Optional.empty());
            String forwarded = complete(garbled, FIRST.getBytes(StandardCharsets.UTF_8))
                    + complete(garbled, garbage)
                    + complete(garbled, "\n\n".getBytes(StandardCharsets.UTF_8))
                    + complete(garbled, SECOND.getBytes(StandardCharsets.UTF_8));
            assertThat(withoutLineBreaks(FIRST + SECOND).startsWith(withoutLineBreaks(forwarded)))
                    .as(forwarded)
                    .isTrue();
        }
    }
}
