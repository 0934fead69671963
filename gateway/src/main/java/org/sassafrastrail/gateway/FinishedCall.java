package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.Optional;

import org.sassafrastrail.gate.CallDescription;

/**
 * A request whose exchange with the caller is over.
 *
 * @param description what it asked for
 * @param status the status that the caller got
 * @param ending how the exchange ended
 * @param firstAfter how long after its arrival an upstream began to answer, empty if none did
 * @param took how long it was here
 */
record FinishedCall(
        CallDescription description,
        int status,
        ExchangeOutcome outcome,
        Optional<Duration> timeToFirstByte,
        Duration duration) {}
