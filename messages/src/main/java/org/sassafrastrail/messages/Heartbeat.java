package org.sassafrastrail.messages;

import org.sassafrastrail.model.Revision;

/**
 * Says that the sender is alive, and which revision it has in force.
 *
 * @param revision the revision in force at the sender
 * @param inFlight how many requests a sidecar's upstream runs
 * @param limit how many it may run at present
 * @param leaving whether the sender is shutting down
 */
public record Heartbeat(Revision revision, int inFlight, int limit, boolean leaving) implements Message {}
