package org.sassafrastrail.gateway;

import java.time.Duration;

import org.sassafrastrail.gate.CallDescription;

/**
 * A request whose exchange with the caller is over.
 *
 * @param number the gateway's number for it
 * @param description what it asked for
 * @param status the status that the caller got
 * @param ending how the exchange ended
 * @param took how long it was here
 */
record FinishedCall(long number, CallDescription description, int status, Ending ending, Duration took) {}
