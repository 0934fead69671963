package org.sassafrastrail.messages;

/**
 * From a gateway that can't reach the store: asks a peer for its copy of a table, if it is newer.
 *
 * @param table the table
 * @param version the store's version that the sender's copy is of
 */
public record CopyRequest(String table, long version) implements Message {}
