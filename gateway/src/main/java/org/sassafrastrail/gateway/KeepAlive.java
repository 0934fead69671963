package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.sassafrastrail.http.BodyFraming;
import org.sassafrastrail.http.ResponseFraming;

/** How long an upstream keeps a connection open after a response, RFC 9112 section 9.3. */
final class KeepAlive {

    /** The time for an upstream that names none. */
    static final Duration DEFAULT = Duration.ofSeconds(2);

    private static final String TIMEOUT = "timeout=";

    /** A longer number means nothing, and would not fit into a duration. */
    private static final int MAX_DIGITS = 9;

    private KeepAlive() {}

    /** Returns the time after a response with these headers, zero if the connection can't be reused. */
    static Duration after(HeaderMap headers, BodyFraming framing) {
        String connectionHeader =
                Optional.ofNullable(headers.getFirst(Headers.CONNECTION)).orElse("");
        if (endsWithConnection(framing)
                || connectionHeader.toLowerCase(Locale.ROOT).contains(Headers.CLOSE.toString())) {
            return Duration.ZERO;
        }
        return Optional.ofNullable(headers.getFirst(Headers.KEEP_ALIVE))
                .flatMap(KeepAlive::timeout)
                .orElse(DEFAULT);
    }

    private static boolean endsWithConnection(BodyFraming framing) {
        return framing.end() == ResponseFraming.BodyEnd.CONNECTION_END;
    }

    private static Optional<Duration> timeout(String keepAlive) {
        int index = keepAlive.indexOf(TIMEOUT);
        if (index < 0) {
            return Optional.empty();
        }
        String digits = keepAlive
                .substring(index + TIMEOUT.length())
                .chars()
                .takeWhile(Character::isDigit)
                .collect(StringBuilder::new, StringBuilder::appendCodePoint, StringBuilder::append)
                .toString();
        return digits.isEmpty() || digits.length() > MAX_DIGITS
                ? Optional.empty()
                : Optional.of(Duration.ofSeconds(Long.parseLong(digits)));
    }
}
