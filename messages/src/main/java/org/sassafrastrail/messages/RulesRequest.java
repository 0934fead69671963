package org.sassafrastrail.messages;

import org.sassafrastrail.model.Revision;

/**
 * Asks a peer for its rule file.
 *
 * @param revision the revision of the sender's own rule file
 */
public record RulesRequest(Revision revision) implements Message {}
