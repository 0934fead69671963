package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.Optional;

import org.sassafrastrail.gate.CallDescription;
import org.sassafrastrail.http.ResponseFraming;

/**
 * A request whose exchange with the caller has ended.
 *
 * @param description the request
 * @param status the status code that the caller received
 * @param outcome the outcome of the exchange
 * @param bodyEnd what marks the end of the response body
 * @param closing whether the connection closes after the response
 * @param bodyForm how the body of the last upstream's response got to the caller, empty if none began
 * @param lastEvent the identifier of the last event that the caller has, empty if it has none
 * @param timeToFirstByte the time from arrival until an upstream began to respond, empty if none did
 * @param duration the time from arrival to the end of the exchange
 */
record FinishedCall(
        CallDescription description,
        int status,
        ExchangeOutcome outcome,
        ResponseFraming.BodyEnd bodyEnd,
        boolean closing,
        Optional<BodyForm> bodyForm,
        Optional<String> lastEvent,
        Optional<Duration> timeToFirstByte,
        Duration duration) {}
