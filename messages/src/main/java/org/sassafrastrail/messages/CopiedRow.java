package org.sassafrastrail.messages;

/**
 * One row of a {@link TableCopy}.
 *
 * @param key the key of the row
 * @param version the version of the row
 * @param value the value of the row
 */
public record CopiedRow(String key, long version, byte[] value) {}
