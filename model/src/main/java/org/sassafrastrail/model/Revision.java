package org.sassafrastrail.model;

/**
 * A revision of the configuration. A node only moves to a higher revision.
 *
 * @param value 0 for no configuration, otherwise the number of accepted changes
 */
public record Revision(long value) implements Comparable<Revision> {

    /** No configuration has been accepted yet. */
    public static final Revision NONE = new Revision(0);

    /** Validates that the number is not negative. */
    public Revision {
        if (value < 0) {
            throw new IllegalArgumentException("revision must not be negative");
        }
    }

    /**
     * Returns the revision that the next accepted change gets.
     *
     * @return the next revision
     */
    public Revision next() {
        return new Revision(value + 1);
    }

    /**
     * Returns whether this revision replaces another.
     *
     * @param other the other revision
     * @return whether this one is higher
     */
    public boolean isNewerThan(Revision other) {
        return value > other.value;
    }

    @Override
    public int compareTo(Revision other) {
        return Long.compare(value, other.value);
    }
}
