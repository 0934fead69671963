package org.sassafrastrail.messages;

import org.sassafrastrail.model.Revision;

/**
 * Shows that the sender is alive and reports its configuration revision and load.
 *
 * @param revision the revision of the configuration in force at the sender
 * @param inFlight the number of requests that a sidecar's upstream is processing
 * @param limit the current concurrency limit of that upstream
 * @param leaving whether the sender is shutting down
 */
public record Heartbeat(Revision revision, int inFlight, int limit, boolean leaving) implements Message {}
