package org.sassafrastrail.messages;

/**
 * Asks a peer for its copy of a table if that is newer, sent by a gateway that can't reach the store.
 *
 * @param table the name of the table
 * @param version the store version of the sender's own copy
 * @param era the era of the store in which it issued that version
 */
public record CopyRequest(String table, long version, long era) implements Message {}
