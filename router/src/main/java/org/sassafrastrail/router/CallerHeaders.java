package org.sassafrastrail.router;

import java.time.Duration;
import java.util.Optional;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.sassafrastrail.model.Identifiers;
import org.sassafrastrail.rules.KeyDigest;

/**
 * The headers of a caller's request.
 *
 * @param caller the digest of the caller's API key
 * @param idempotencyKey the caller's idempotency key, if any
 * @param hint the caller's cost hint in tokens, 0 for none
 * @param maximumWait how long the request may be queued, if the caller set a limit
 */
record CallerHeaders(KeyDigest caller, Optional<String> idempotencyKey, long hint, Optional<Duration> maximumWait) {

    private static final HttpString HINT = new HttpString("X-Cost-Hint");
    private static final HttpString MAXIMUM_WAIT = new HttpString("X-Patience-Milliseconds");
    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    private static final String BEARER = "Bearer ";
    private static final long MAX_HINT_TOKENS = 1_000_000_000;
    private static final long MAX_WAIT_MILLISECONDS = Duration.ofHours(1).toMillis();

    /** Parses the headers; empty if one of them is malformed. */
    static Optional<CallerHeaders> parse(HeaderMap headers) {
        Optional<String> key = Optional.ofNullable(headers.getFirst(IDEMPOTENCY_KEY));
        Optional<Long> hint = number(headers, HINT, MAX_HINT_TOKENS);
        Optional<Long> maximumWait = number(headers, MAXIMUM_WAIT, MAX_WAIT_MILLISECONDS);
        boolean valid = (hint.isPresent() || !headers.contains(HINT))
                && (maximumWait.isPresent() || !headers.contains(MAXIMUM_WAIT))
                && key.map(Identifiers::isName).orElse(true);
        return valid
                ? Optional.of(new CallerHeaders(
                        KeyDigest.of(callerKey(headers)), key, hint.orElse(0L), maximumWait.map(Duration::ofMillis)))
                : Optional.empty();
    }

    private static Optional<Long> number(HeaderMap headers, HttpString name, long limit) {
        try {
            return Optional.of(Long.parseLong(headers.getFirst(name))).filter(number -> number >= 0 && number <= limit);
        } catch (NumberFormatException missingOrMalformed) {
            return Optional.empty();
        }
    }

    private static String callerKey(HeaderMap headers) {
        return Optional.ofNullable(headers.getFirst(Headers.AUTHORIZATION))
                .filter(value -> value.startsWith(BEARER))
                .map(value -> value.substring(BEARER.length()))
                .orElse("");
    }
}
