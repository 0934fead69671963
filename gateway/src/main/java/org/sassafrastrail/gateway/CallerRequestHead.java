package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.Optional;

import org.sassafrastrail.gate.Prompt;

/**
 * What a caller's headers say.
 *
 * @param requestIdentifier the identifier that the caller gave the request, empty if it gave none
 * @param host the host that it names, in lower case and without a port
 * @param key the key of its client account
 * @param prompt its prompt, {@link Prompt#NONE} if it names none
 * @param timeout how long the caller waits, empty if it does not say
 */
public record CallerRequestHead(
        Optional<String> requestIdentifier,
        String host,
        Optional<String> key,
        Prompt prompt,
        Optional<Duration> timeout) {}
