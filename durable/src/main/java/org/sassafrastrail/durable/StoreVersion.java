package org.sassafrastrail.durable;

import java.util.Comparator;

/**
 * A version of the store or of one of its rows. A store that comes back from an older copy issues the numbers since that copy
 * again, and is in a new era. Versions are therefore ordered by era first.
 *
 * @param era how often the store has come back from an older copy, 0 if it doesn't say
 * @param number the number within the era
 */
public record StoreVersion(long era, long number) implements Comparable<StoreVersion> {

    private static final Comparator<StoreVersion> ORDER =
            Comparator.comparingLong(StoreVersion::era).thenComparingLong(StoreVersion::number);

    /**
     * Returns whether this version is older than another one.
     *
     * @param other the other version
     * @return whether it is
     */
    public boolean isBefore(StoreVersion other) {
        return compareTo(other) < 0;
    }

    @Override
    public int compareTo(StoreVersion other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return era + "." + number;
    }
}
