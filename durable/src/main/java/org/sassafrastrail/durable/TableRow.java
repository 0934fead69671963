package org.sassafrastrail.durable;

import java.util.Optional;

/**
 * A row of a table of the store.
 *
 * @param key its key
 * @param version its version
 * @param value its content, empty if the row was deleted
 */
public record TableRow(String key, StoreVersion version, Optional<byte[]> value) {}
