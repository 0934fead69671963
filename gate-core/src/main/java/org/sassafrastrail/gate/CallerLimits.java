package org.sassafrastrail.gate;

import java.time.Duration;

/**
 * What callers may send.
 *
 * @param headerBytes the largest size of a request's headers
 * @param bodyBytes the largest size of a body
 * @param headerPatience how long a caller may take to send its headers
 * @param idlePatience how long a connection may stay idle
 */
public record CallerLimits(int headerBytes, long bodyBytes, Duration headerPatience, Duration idlePatience) {}
