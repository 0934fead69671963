package org.sassafrastrail.messages;

/**
 * Answers a permit request.
 *
 * @param upstream the identifier of the upstream
 * @param startedAtMillis the start of the upstream in wall-clock milliseconds, 0 if unknown
 * @param granted whether the permit is granted
 * @param delayMilliseconds the time until another one can be had, if it is not
 */
public record PermitAnswer(String upstream, long startedAtMillis, boolean granted, long delayMilliseconds)
        implements Message {}
