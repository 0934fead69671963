package org.sassafrastrail.messages;

import java.util.List;

/**
 * The requests that began to run at the sender in a window of usage reports.
 *
 * @param window the number of the window
 * @param counts the requests since the sender started, by client account
 */
public record WindowUsage(long window, List<AccountCount> counts) {}
