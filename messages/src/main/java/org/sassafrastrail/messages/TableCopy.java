package org.sassafrastrail.messages;

import java.util.List;

/**
 * A gateway's copy of a table of the store.
 *
 * @param table the table
 * @param version the store's version that the copy is of
 * @param rows all rows
 */
public record TableCopy(String table, long version, List<CopiedRow> rows) implements Message {}
