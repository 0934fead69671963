package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.Optional;

import org.sassafrastrail.gate.Prompt;

/**
 * The parsed headers of a caller's request.
 *
 * @param requestIdentifier the identifier that the caller gave the request, empty if none
 * @param host the host, in lower case and without a port
 * @param key the key of the client account, empty if none
 * @param prompt the description of the prompt, {@link Prompt#NONE} if absent
 * @param timeout how long the caller waits for the response, empty if not stated
 */
public record CallerRequestHead(
        Optional<String> requestIdentifier,
        String host,
        Optional<String> key,
        Prompt prompt,
        Optional<Duration> timeout) {}
