package org.sassafrastrail.messages;

/**
 * An upstream that said that it is draining.
 *
 * @param upstream the identifier of the upstream
 * @param startedAtMillis the start of the upstream in wall-clock milliseconds, 0 if unknown
 * @param ageMilliseconds the time since the gateway heard it
 */
public record DrainingUpstream(String upstream, long startedAtMillis, long ageMilliseconds) {}
