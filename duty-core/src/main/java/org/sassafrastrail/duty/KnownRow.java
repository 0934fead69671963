package org.sassafrastrail.duty;

import java.time.Instant;
import java.util.Optional;

/**
 * The row of a lease as a gateway saw it.
 *
 * @param row the content, empty if there is no row
 * @param version the version, 0 if there is no row
 * @param since when it was first seen so
 */
public record KnownRow(Optional<LeaseRow> row, long version, Instant since) {

    boolean isSame(KnownRow other) {
        return row.equals(other.row) && version == other.version;
    }

    boolean isOf(DutyHolder holder) {
        return row.filter(content -> content.holder().equals(holder)).isPresent();
    }

    boolean isFree() {
        return row.map(LeaseRow::released).orElse(true);
    }

    FencingToken token() {
        return row.map(LeaseRow::token).orElse(FencingToken.NONE);
    }
}
