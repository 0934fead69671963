package org.sassafrastrail.messages;

import java.util.List;

/**
 * What a gateway read of a table of the store, sent to the gateways of its failure domain, which then need not read it themselves.
 *
 * @param table the name of the table
 * @param fromVersion the store version after which the changes begin, negative if the whole table was read
 * @param version the store version up to which the table was read
 * @param rows the rows that were written
 * @param removed the rows that were deleted
 * @param era the era of the store in which it issued the versions
 */
public record TableUpdate(
        String table, long fromVersion, long version, List<CopiedRow> rows, List<RemovedRow> removed, long era)
        implements Message {}
