package org.sassafrastrail.durable;

import java.util.Optional;

/**
 * A row of a followed table.
 *
 * @param key its key
 * @param version its version
 * @param value its content, empty if the row was removed
 */
public record TableRow(String key, long version, Optional<byte[]> value) {}
