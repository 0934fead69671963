package org.sassafrastrail.http;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

/**
 * How the head of a message frames its body, RFC 9112 section 6.
 *
 * @param end what marks the end of the body
 * @param length the length of the body in bytes, where that marks its end
 */
public record BodyFraming(ResponseFraming.BodyEnd end, OptionalLong length) {

    private static final int MAX_LENGTH_DIGITS = 18;

    /**
     * Reads the framing of a received message. Chunks go before a length.
     *
     * @param headers the headers
     * @return the framing, empty if the headers contradict each other or cannot be read
     */
    public static Optional<BodyFraming> of(HeaderMap headers) {
        List<String> codings = values(headers, Headers.TRANSFER_ENCODING).toList();
        if (!codings.isEmpty()) {
            return codings.equals(List.of(Headers.CHUNKED.toString()))
                    ? Optional.of(new BodyFraming(ResponseFraming.BodyEnd.LAST_CHUNK, OptionalLong.empty()))
                    : Optional.empty();
        }
        Set<String> lengths = values(headers, Headers.CONTENT_LENGTH).collect(Collectors.toUnmodifiableSet());
        if (lengths.isEmpty()) {
            return headers.contains(Headers.CONTENT_LENGTH)
                    ? Optional.empty()
                    : Optional.of(new BodyFraming(ResponseFraming.BodyEnd.CONNECTION_END, OptionalLong.empty()));
        }
        return lengths.stream()
                .filter(length -> lengths.size() == 1 && isNumber(length))
                .findFirst()
                .map(length ->
                        new BodyFraming(ResponseFraming.BodyEnd.LENGTH, OptionalLong.of(Long.parseLong(length))));
    }

    /**
     * Puts the framing into the headers of a message that is sent on, in place of what they say of it.
     *
     * @param headers the headers
     */
    public void applyTo(HeaderMap headers) {
        headers.remove(Headers.TRANSFER_ENCODING);
        headers.remove(Headers.CONTENT_LENGTH);
        length.ifPresent(bytes -> headers.put(Headers.CONTENT_LENGTH, bytes));
    }

    private static Stream<String> values(HeaderMap headers, HttpString name) {
        return Optional.ofNullable(headers.get(name)).stream()
                .flatMap(HeaderValues::stream)
                .flatMap(value -> Arrays.stream(value.split(",")))
                .map(value -> value.trim().toLowerCase(Locale.ROOT))
                .filter(value -> !value.isEmpty());
    }

    private static boolean isNumber(String text) {
        return text.length() <= MAX_LENGTH_DIGITS
                && text.chars().allMatch(character -> character >= '0' && character <= '9');
    }
}
