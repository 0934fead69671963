package org.sassafrastrail.durable;

import java.util.List;

/**
 * The changes of a table between two versions of the store, as one process read them and tells them to another.
 *
 * @param fromVersion the version after which the changes begin; the whole table was read if it is {@link WatchedTable#NOT_LOADED}
 * @param version the version up to which the table was read
 * @param rows the changed rows, without a value where a row was deleted
 */
public record TableChanges(StoreVersion fromVersion, StoreVersion version, List<TableRow> rows) {}
