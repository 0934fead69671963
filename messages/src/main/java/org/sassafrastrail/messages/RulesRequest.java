package org.sassafrastrail.messages;

import org.sassafrastrail.model.Revision;

/**
 * Asks a peer for its rule file.
 *
 * @param revision the revision that the sender has
 */
public record RulesRequest(Revision revision) implements Message {}
