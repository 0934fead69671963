package org.sassafrastrail.messages;

/**
 * A deleted row in a {@link TableUpdate}.
 *
 * @param key the key of the row
 * @param version the store version of its deletion
 */
public record RemovedRow(String key, long version) {}
