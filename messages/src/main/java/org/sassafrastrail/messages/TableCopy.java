package org.sassafrastrail.messages;

import java.util.List;

/**
 * A gateway's copy of a table of the store, sent in reply to a {@link CopyRequest}.
 *
 * @param table the name of the table
 * @param version the store version of the copy
 * @param rows all rows of the table
 * @param era the era of the store in which it issued the versions
 */
public record TableCopy(String table, long version, List<CopiedRow> rows, long era) implements Message {}
