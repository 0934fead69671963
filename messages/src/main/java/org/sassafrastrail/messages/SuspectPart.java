package org.sassafrastrail.messages;

/**
 * A prompt part of requests that were lost in the crash of an upstream.
 *
 * @param part the identifier of the part
 * @param dispatchedMillisecondsAgo the time since the latest of these requests was dispatched
 * @param trusted whether an upstream had responded to the part shortly before
 */
public record SuspectPart(String part, long dispatchedMillisecondsAgo, boolean trusted) {}
