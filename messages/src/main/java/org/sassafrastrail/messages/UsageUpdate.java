package org.sassafrastrail.messages;

import java.util.List;

/**
 * Tells a gateway's peers its wall clock and the requests that began to run in the windows that may have changed.
 *
 * @param wallMilliseconds the wall clock of the sender, in milliseconds since the epoch
 * @param windows the windows
 */
public record UsageUpdate(long wallMilliseconds, List<WindowUsage> windows) implements Message {}
