package org.sassafrastrail.messages;

/**
 * A row in a copy of a table.
 *
 * @param key its key
 * @param version the version of the row
 * @param value its content
 */
public record CopiedRow(String key, long version, byte[] value) {}
