package org.sassafrastrail.model;

/**
 * The revision of the configuration; a node only moves to a higher one.
 *
 * @param value 0 for no configuration, else the number of accepted changes
 */
public record Revision(long value) implements Comparable<Revision> {

    /** No configuration has been accepted yet. */
    public static final Revision NONE = new Revision(0);

    /** Checks the number. */
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
     * Tells whether this revision replaces another.
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
